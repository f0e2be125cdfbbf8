// Command lavenderstub runs one stand-in for a system that lavenderrouter talks to.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

func main() {
	os.Exit(lrstub.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
