// Command lavenderstub runs a stand-in for one of the systems that lavenderrouter connects to.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

func main() {
	os.Exit(lrstub.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
