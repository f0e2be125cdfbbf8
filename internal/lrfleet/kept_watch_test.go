package lrfleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	testKept = "10.0.0.9:80"
	// testCapacity is in tokens.
	testCapacity = 1_000_000
)

// scriptedProber answers looks with its sign or its error.
type scriptedProber struct {
	sign  KeptSign
	err   error
	looks int
	from  uint64
}

// ProbeKept counts the look.
func (s *scriptedProber) ProbeKept(_ context.Context, _ string, from uint64) (KeptSign, error) {
	s.looks++
	s.from = from
	return s.sign, s.err
}

type keptWorld struct {
	prober   *scriptedProber
	watch    *KeptWatch
	now      time.Time
	isFirst  bool
	restarts int
}

func newKeptWorld() *keptWorld {
	w := &keptWorld{prober: &scriptedProber{sign: KeptSign{Epoch: 7, Next: 40}}, now: time.Unix(1000, 0), isFirst: true}
	w.watch = NewKeptWatch(KeptParts{
		Prober: w.prober, Stores: func() []lrtable.KeptStore { return []lrtable.KeptStore{{Address: testKept, Capacity: testCapacity}} }, Go: func(_ string, work func()) { go work() }, IsWatcher: func() bool { return w.isFirst },
		OnRestart: func(string) { w.restarts++ }, Clock: func() time.Time { return w.now }, Log: zerolog.Nop(),
	})
	return w
}

func (w *keptWorld) step() {
	w.now = w.now.Add(KeptProbePeriod)
	w.watch.Step(context.Background(), w.now)
}

// TestDeadKeptStoreIsLeftAlone stops sending engines to a store after the first look that it does not answer, and sends them again once
// it answers.
func TestDeadKeptStoreIsLeftAlone(t *testing.T) {
	w := newKeptWorld()
	requireTrue(t, w.watch.IsUsable(w.now, testKept), "a store of which nothing is known is not used")
	w.step()
	requireTrue(t, w.watch.IsUsable(w.now, testKept), "a store that answers is not used")
	w.prober.err = errors.New("timeout")
	w.step()
	requireTrue(t, !w.watch.IsUsable(w.now, testKept), "a store that does not answer is used")
	w.prober.err = nil
	w.step()
	requireTrue(t, w.watch.IsUsable(w.now, testKept), "a store that answers again is not used")
	requireTrue(t, w.prober.from == 40, "the looks go on from %d", w.prober.from)
}

// TestOnlyTheFirstInstanceLooks leaves the looks to the first instance of the zone.
func TestOnlyTheFirstInstanceLooks(t *testing.T) {
	w := newKeptWorld()
	w.isFirst = false
	w.step()
	requireTrue(t, w.prober.looks == 0, "%d looks", w.prober.looks)
}

// TestStoreThatIsBackEmpty tells of a restart once, also when it was not seen to be down.
func TestStoreThatIsBackEmpty(t *testing.T) {
	cases := []struct {
		name     string
		seenDown bool
	}{{"seen down", true}, {"between two looks", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newKeptWorld()
			w.step()
			requireTrue(t, w.restarts == 0, "%d restarts at first", w.restarts)
			if c.seenDown {
				w.prober.err = errors.New("refused")
				w.step()
				w.prober.err = nil
			}
			w.prober.sign.Epoch = 8
			w.step()
			w.step()
			requireTrue(t, w.restarts == 1, "%d restarts", w.restarts)
		})
	}
}

// TestNewestFindingHolds hears of findings in another order than they were made.
func TestNewestFindingHolds(t *testing.T) {
	w := newKeptWorld()
	w.watch.Heard(w.now, KeptNote{Address: testKept, IsDown: true}, 100*time.Millisecond)
	w.watch.Heard(w.now, KeptNote{Address: testKept, Epoch: 7}, 500*time.Millisecond)
	requireTrue(t, !w.watch.IsUsable(w.now, testKept), "an older finding goes before a newer one")
	requireTrue(t, w.watch.IsUsable(w.now.Add(keptFor+time.Second), testKept), "a finding is believed without end")
	told := 0
	w.watch.News(w.now, func(note KeptNote, age time.Duration) {
		told++
		requireTrue(t, note.IsDown && age == 100*time.Millisecond, "told %v of %s", note, age)
	})
	requireTrue(t, told == 1, "told %d notes", told)
}

func requireTrue(t *testing.T, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatalf(format, args...)
	}
}
