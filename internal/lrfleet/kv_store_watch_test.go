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
	testKVStore = "10.0.0.9:80"
	// testCapacity is in tokens.
	testCapacity = 1_000_000
)

// scriptedProber answers probes with its answer or its error.
type scriptedProber struct {
	answer KVProbeResult
	err    error
	probes int
	from   uint64
}

// ProbeKVStore counts the probe.
func (s *scriptedProber) ProbeKVStore(_ context.Context, _ string, from uint64) (KVProbeResult, error) {
	s.probes++
	s.from = from
	return s.answer, s.err
}

type kvWatchFixture struct {
	prober    *scriptedProber
	watch     *KVStoreWatch
	now       time.Time
	isWatcher bool
	restarts  int
}

func newKVWatchFixture() *kvWatchFixture {
	w := &kvWatchFixture{prober: &scriptedProber{answer: KVProbeResult{Epoch: 7, Next: 40}}, now: time.Unix(1000, 0), isWatcher: true}
	w.watch = NewKVStoreWatch(KVStoreWatchDependencies{
		Prober: w.prober, Stores: func() []lrtable.KVStore { return []lrtable.KVStore{{Address: testKVStore, Capacity: testCapacity}} }, Go: func(_ string, work func()) { go work() }, IsWatcher: func() bool { return w.isWatcher },
		OnRestart: func(string) { w.restarts++ }, Clock: func() time.Time { return w.now }, Log: zerolog.Nop(),
	})
	return w
}

func (w *kvWatchFixture) step() {
	w.now = w.now.Add(KVProbePeriod)
	w.watch.Step(context.Background(), w.now)
}

// TestUnreachableStoreIsNotUsable checks that engines are not directed to a store after the first probe that it does not answer, and are
// again once it answers.
func TestUnreachableStoreIsNotUsable(t *testing.T) {
	w := newKVWatchFixture()
	requireTrue(t, w.watch.IsUsable(w.now, testKVStore), "a store without a status is not usable")
	w.step()
	requireTrue(t, w.watch.IsUsable(w.now, testKVStore), "a store that answers is not usable")
	w.prober.err = errors.New("timeout")
	w.step()
	requireTrue(t, !w.watch.IsUsable(w.now, testKVStore), "a store that does not answer is usable")
	w.prober.err = nil
	w.step()
	requireTrue(t, w.watch.IsUsable(w.now, testKVStore), "a store that answers again is not usable")
	requireTrue(t, w.prober.from == 40, "the probe reads from %d", w.prober.from)
}

// TestOnlyWatcherProbesStores checks that an instance which is not the watcher of its zone sends no probes.
func TestOnlyWatcherProbesStores(t *testing.T) {
	w := newKVWatchFixture()
	w.isWatcher = false
	w.step()
	requireTrue(t, w.prober.probes == 0, "%d probes", w.prober.probes)
}

// TestStoreRestartIsReportedOnce restarts a store. The restart is reported once, also when the store was never seen to be down.
func TestStoreRestartIsReportedOnce(t *testing.T) {
	cases := []struct {
		name     string
		seenDown bool
	}{{"seen down", true}, {"between two probes", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newKVWatchFixture()
			w.step()
			requireTrue(t, w.restarts == 0, "%d restarts at first", w.restarts)
			if c.seenDown {
				w.prober.err = errors.New("refused")
				w.step()
				w.prober.err = nil
			}
			w.prober.answer.Epoch = 8
			w.step()
			w.step()
			requireTrue(t, w.restarts == 1, "%d restarts", w.restarts)
		})
	}
}

// TestNewestStatusWins receives statuses out of order. The newest one is used until it expires.
func TestNewestStatusWins(t *testing.T) {
	w := newKVWatchFixture()
	w.watch.Merge(w.now, KVStoreStatus{Address: testKVStore, IsDown: true}, 100*time.Millisecond)
	w.watch.Merge(w.now, KVStoreStatus{Address: testKVStore, Epoch: 7}, 500*time.Millisecond)
	requireTrue(t, !w.watch.IsUsable(w.now, testKVStore), "an older status replaces a newer one")
	requireTrue(t, w.watch.IsUsable(w.now.Add(statusValidFor+time.Second), testKVStore), "a status never expires")
	sent := 0
	w.watch.Updates(w.now, func(status KVStoreStatus, age time.Duration) {
		sent++
		requireTrue(t, status.IsDown && age == 100*time.Millisecond, "sent %v with age %s", status, age)
	})
	requireTrue(t, sent == 1, "sent %d statuses", sent)
}

func requireTrue(t *testing.T, condition bool, format string, args ...any) {
	t.Helper()
	if !condition {
		t.Fatalf(format, args...)
	}
}
