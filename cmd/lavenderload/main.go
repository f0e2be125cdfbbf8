// Command lavenderload sends an open load with nested prompt prefixes and reports how it was served.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrload"
)

func main() {
	os.Exit(lrload.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
