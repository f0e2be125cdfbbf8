// Command lavenderrouter is the daemon and the operator's tool.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrcommand"
)

func main() {
	os.Exit(lrcommand.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
