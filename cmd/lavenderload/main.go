// Command lavenderload generates open-loop load with nested prompt prefixes and reports how the requests were served.
package main

import (
	"os"

	"github.com/lavenderrouter/lavenderrouter/internal/lrload"
)

func main() {
	os.Exit(lrload.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
