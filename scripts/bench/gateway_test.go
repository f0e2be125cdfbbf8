package main

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkGateway measures requests through the gateway. Use it for profiles:
// go test -run=^$ -bench=Gateway -cpuprofile=cpu.out ./scripts/bench
func BenchmarkGateway(b *testing.B) {
	rig, err := newGatewayRig(zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer rig.close()
	for b.Loop() {
		_, err := rig.throughGateway(context.Background())
		if err != nil {
			b.Fatal(err)
		}
	}
}
