// Command demo starts a small deployment with every component as a separate process, shows what the system does, and
// removes what it started.
package main

import (
	"fmt"
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrcluster"
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
	cluster, err := lrcluster.New()
	if err != nil {
		return err
	}
	defer cluster.Stop()
	err = cluster.Start()
	if err != nil {
		return err
	}
	return runSteps(cluster, demoSteps())
}
