package lrfleet

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

const (
	testAccount = "school"
	testBurst   = 100.0
)

// requireLimited checks that the limiter still enforces the burst.
func requireLimited(t *testing.T, s *Sharer, now time.Time) {
	t.Helper()
	_, ok := s.Limiter.Reserve(now, testAccount, testBurst, testBurst, 0)
	_, tooMuch := s.Limiter.Reserve(now, testAccount, testBurst, testBurst, testBurst)
	_, again := s.Limiter.Reserve(now, testAccount, testBurst, testBurst, testBurst)
	if tooMuch && again {
		t.Fatalf("two bursts are admitted at once; request for nothing admitted: %v", ok)
	}
}

// TestMalformedStatesAreRejected sends invalid states to an instance. It applies nothing of them and continues to work.
func TestMalformedStatesAreRejected(t *testing.T) {
	cases := []struct {
		name  string
		state *lrpeerpb.FleetState
	}{
		{"nothing", &lrpeerpb.FleetState{}},
		{"no zone", &lrpeerpb.FleetState{Name: "b0"}},
		{"usage that is not a number", &lrpeerpb.FleetState{Name: "b0", Zone: "b", Used: map[string]float64{testAccount: math.NaN()}}},
		{"infinite usage", &lrpeerpb.FleetState{Name: "b0", Zone: "b", Used: map[string]float64{testAccount: math.Inf(-1)}}},
		{"levels that are not numbers", &lrpeerpb.FleetState{Name: "b0", Zone: "b", Levels: map[string]float64{testAccount: math.NaN()}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(1)
			f.run(2 * time.Second)
			s := f.find("a0")
			_, err := s.Share(context.Background(), c.state)
			if !ErrMalformed.Has(err) {
				t.Fatalf("got error %v", err)
			}
			f.run(time.Second)
			requireLimited(t, s, f.now)
			requireEqual(t, "reached", s.Reached(f.now), 3)
		})
	}
}

// FuzzState sends arbitrary states to an instance. It must neither panic nor stop enforcing the allowances.
func FuzzState(f *testing.F) {
	for _, state := range []*lrpeerpb.FleetState{
		{},
		{Name: "b0", Zone: "b", Process: "1", Used: map[string]float64{testAccount: 5}, Reached: 1, Loads: []*lrpeerpb.ServerLoad{{Server: "e"}}},
		{Name: "b0", Zone: "b", Used: map[string]float64{testAccount: math.NaN()}, Kept: []*lrpeerpb.KeptNote{{Address: "x", AgeMillis: 1 << 31}}},
		{Name: "a0", Zone: "a", Holdings: []*lrpeerpb.CacheNote{{Server: "e", Keys: []uint64{1}}}, NextNear: 1 << 63, HeardNear: 1 << 63},
		{Name: "c0", Zone: "c", Reached: math.MaxUint32, UptimeMillis: math.MaxUint64, Rollout: &lrpeerpb.RolloutState{Holder: "c0"}},
	} {
		data, err := proto.Marshal(state)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &lrpeerpb.FleetState{}
		if proto.Unmarshal(data, state) != nil {
			return
		}
		fleet := newTestFleet(1)
		fleet.run(time.Second)
		s := fleet.find("a0")
		_, _ = s.Share(context.Background(), state)
		s.applyReports(fleet.now)
		requireLimited(t, s, fleet.now)
	})
}
