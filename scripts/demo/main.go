// Command demo starts every part of a small deployment as a process of its own, shows what the system does, and
// removes what it started.
package main

import (
	"fmt"
	"os"
)

func main() {
	err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo: failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: ok")
}

func run() error {
	cluster, err := newCluster()
	if err != nil {
		return err
	}
	defer cluster.stop()
	err = cluster.start()
	if err != nil {
		return err
	}
	return runSteps(cluster, demoSteps())
}
