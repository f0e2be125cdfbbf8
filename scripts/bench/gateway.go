package main

import (
	"context"
	"fmt"
	"math"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	gatewayWarmUp   = 300
	gatewayRequests = 4_000
	addedTarget     = 0.001
)

// gatewayRun collects the timings of one path to the engine.
type gatewayRun struct {
	first []time.Duration
	whole []time.Duration
	cpu   time.Duration
}

// measureGateway compares requests through a gateway with requests directly to the engine. They alternate, so that both
// run under the same conditions of the machine.
func measureGateway(ctx context.Context) ([]figure, error) {
	rig, err := newGatewayRig(zerolog.Nop())
	if err != nil {
		return nil, err
	}
	defer rig.close()
	var ours, direct gatewayRun
	for n := range gatewayWarmUp + gatewayRequests {
		err = ours.add(ctx, n >= gatewayWarmUp, rig.throughGateway)
		if err != nil {
			return nil, fmt.Errorf("through the gateway: %w", err)
		}
		err = direct.add(ctx, n >= gatewayWarmUp, rig.toEngine)
		if err != nil {
			return nil, fmt.Errorf("to the engine: %w", err)
		}
	}
	added := func(q float64) float64 { return quantile(ours.first, q) - quantile(direct.first, q) }
	cpu := (ours.cpu - direct.cpu).Seconds() / gatewayRequests
	return []figure{
		{"addedFirstTokenMedian", added(0.5), quantile(direct.first, 0.5), addedTarget, "s"},
		{"addedFirstTokenTail", added(tailQuantile), quantile(direct.first, tailQuantile), addedTarget, "s"},
		{"addedWholeAnswerTail", quantile(ours.whole, tailQuantile) - quantile(direct.whole, tailQuantile), quantile(direct.whole, tailQuantile), math.NaN(), "s"},
		{"addedCPU", cpu, direct.cpu.Seconds() / gatewayRequests, math.NaN(), "s/request"},
		{"requestsPerCore", 1 / cpu, math.NaN(), math.NaN(), "1/s"},
	}, nil
}

func (g *gatewayRun) add(ctx context.Context, counts bool, call func(context.Context) (timing, error)) error {
	before := processorTime()
	t, err := call(ctx)
	if err != nil || !counts {
		return err
	}
	g.cpu += processorTime() - before
	g.first = append(g.first, t.first)
	g.whole = append(g.whole, t.whole)
	return nil
}

// processorTime returns the CPU time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
