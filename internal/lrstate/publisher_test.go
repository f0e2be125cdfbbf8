package lrstate

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const maxApplyCalls = 16

// addKey adds a key with the identifier to the configuration.
func addKey(ctx context.Context, p *Publisher, id string) error {
	base, err := p.Read(ctx)
	if err != nil {
		return err
	}
	return addKeyTo(ctx, p, base, id)
}

func addKeyTo(ctx context.Context, p *Publisher, base *lrconfig.Snapshot, id string) error {
	change, err := KeyChange(base, "add key", lrconfig.KeyRecord{ID: id, Account: "a"})
	if err != nil {
		return err
	}
	change.Who = "who-" + id
	_, err = p.Apply(ctx, time.Unix(0, 0), base, change)
	return err
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// checkOutcome asserts that the outcome in the error states correctly whether the key was added, and that the audit trail
// has one entry for each version.
func checkOutcome(t *testing.T, memory *lrplatform.Memory, id string, outcome error) {
	t.Helper()
	ctx, publisher := context.Background(), NewPublisher(memory)
	snapshot, err := publisher.Read(ctx)
	requireNoError(t, err)
	_, active := snapshot.Key(id)
	trail, err := publisher.Audit(ctx, int(snapshot.Version())+1)
	requireNoError(t, err)
	if len(trail) != int(snapshot.Version()) {
		t.Fatalf("the audit trail has %d entries at version %d", len(trail), snapshot.Version())
	}
	inTrail := 0
	for _, e := range trail {
		if e.Who == "who-"+id {
			inTrail++
		}
	}
	if (inTrail == 1) != active || inTrail > 1 {
		t.Fatalf("the change is %d times in the audit trail, active: %t", inTrail, active)
	}
	accepted := outcome == nil
	inDoubt := outcome != nil && lrerror.From(outcome).Outcome() == lrerror.Unknown
	if !inDoubt && accepted != active {
		t.Fatalf("outcome %v, active: %t", outcome, active)
	}
}

// namedFault is a fault of one call to the store.
type namedFault struct {
	name  string
	fault lrplatform.StoreFault
	// race makes another operator change the configuration before the call.
	race bool
}

func writeFaults() []namedFault {
	return []namedFault{
		{name: "lost write", fault: lrplatform.StoreFault{LoseWrite: true}},
		{name: "lost reply", fault: lrplatform.StoreFault{LoseReply: true}},
		{name: "outage", fault: lrplatform.StoreFault{Unavailable: true}},
		{name: "lagging read", fault: lrplatform.StoreFault{Stale: true}},
		{name: "race", race: true},
		{name: "lost reply and race", fault: lrplatform.StoreFault{LoseReply: true}, race: true},
	}
}

// applyUnderFaults adds a key while each fault is injected at the call with its number.
func applyUnderFaults(t *testing.T, faults map[int]namedFault) (*lrplatform.Memory, error) {
	t.Helper()
	ctx, memory := context.Background(), lrplatform.NewMemory()
	other := NewPublisher(memory)
	requireNoError(t, addKey(ctx, other, "first"))
	base, err := other.Read(ctx)
	requireNoError(t, err)
	store := lrplatform.NewFaultyPlatform(memory, func(call lrplatform.StoreCall) lrplatform.StoreFault {
		f := faults[call.Number]
		if f.race {
			requireNoError(t, addKey(ctx, other, fmt.Sprint("other-", call.Number)))
		}
		return f.fault
	})
	return memory, addKeyTo(ctx, NewPublisher(store), base, "own")
}

func TestEveryFaultAtEveryCall(t *testing.T) {
	for call := 1; call <= maxApplyCalls; call++ {
		for _, f := range writeFaults() {
			t.Run(fmt.Sprint(f.name, " at call ", call), func(t *testing.T) {
				memory, err := applyUnderFaults(t, map[int]namedFault{call: f})
				checkOutcome(t, memory, "own", err)
			})
		}
	}
}

func TestEveryPairOfFaults(t *testing.T) {
	for first := 1; first <= maxApplyCalls; first++ {
		for second := first + 1; second <= maxApplyCalls; second++ {
			for _, f := range writeFaults() {
				for _, g := range writeFaults() {
					memory, err := applyUnderFaults(t, map[int]namedFault{first: f, second: g})
					checkOutcome(t, memory, "own", err)
				}
			}
		}
	}
}

func TestSingleFaultOfHeadWriteIsResolved(t *testing.T) {
	for _, f := range writeFaults()[:2] {
		t.Run(f.name, func(t *testing.T) {
			memory, err := applyUnderFaults(t, map[int]namedFault{4: f})
			requireNoError(t, err)
			checkOutcome(t, memory, "own", err)
		})
	}
}

func TestConflictNamesWhatChanged(t *testing.T) {
	_, err := applyUnderFaults(t, map[int]namedFault{4: {race: true}})
	if !lrerror.Is(err, lrerror.KindConflict) || !strings.Contains(err.Error(), "key other-4") {
		t.Fatalf("error: %v", err)
	}
}
