// Command lavenderrouter runs an instance of the router and provides the operators' commands.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrcommand"
)

func main() {
	os.Exit(lrcommand.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
