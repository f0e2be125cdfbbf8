// Command bench measures the router and prints one line for each figure that the documentation quotes.
//
// An instance is a process of the router. A prefix block is the unit of a prompt that engines cache. The home of a client
// account is the instance that owns its token bucket.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
)

// figure is one measured figure beside its baseline and target. A missing baseline or target is NaN.
type figure struct {
	metric   string
	ours     float64
	baseline float64
	target   float64
	unit     string
}

// area is one group of figures.
type area struct {
	name    string
	measure func(ctx context.Context) ([]figure, error)
}

// areas returns every area, in the order in which they are measured.
func areas() []area {
	return []area{
		{name: "route", measure: measureRoute},
		{name: "place", measure: measurePlace},
		{name: "limit", measure: measureLimit},
		{name: "admission", measure: measureAdmission},
		{name: "allowance", measure: measureAllowance},
		{name: "state", measure: measureState},
		{name: "stream", measure: measureStream},
		{name: "gateway", measure: measureGateway},
		{name: "paid", measure: measurePaid},
		{name: "release", measure: measureRelease},
	}
}

// main measures the areas named in the arguments, or all of them.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for _, a := range areas() {
		if !isSelected(a.name, os.Args[1:]) {
			continue
		}
		figures, err := a.measure(ctx)
		for _, f := range figures {
			fmt.Printf("BENCH %s.%s ours=%s baseline=%s target=%s unit=%s\n", a.name, f.metric,
				format(f.ours), format(f.baseline), format(f.target), f.unit)
		}
		if err != nil {
			fmt.Printf("BENCH-FAILED %s: %v\n", a.name, err)
		}
	}
}

func isSelected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func format(value float64) string { return strconv.FormatFloat(value, 'g', 5, 64) }
