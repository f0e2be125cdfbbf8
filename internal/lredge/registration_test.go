package lredge

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// requireRegistered checks which process is registered as edge-1; an empty one stands for no registration.
func requireRegistered(t *testing.T, store lrplatform.Objects, process string) {
	t.Helper()
	var stored lrfleet.Instance
	object, err := store.Get(context.Background(), "instances", "edge-1")
	if !lrplatform.ErrNotFound.Has(err) {
		err = json.Unmarshal(object.Value, &stored)
		if err != nil {
			t.Fatal(err)
		}
	}
	if stored.Process != process {
		t.Fatalf("registered: got process %q, want %q", stored.Process, process)
	}
}

// requireStored checks the whole registration.
func requireStored(t *testing.T, store lrplatform.Objects, want lrfleet.Instance) {
	t.Helper()
	value, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := store.Get(context.Background(), "instances", want.Name)
	if err != nil || string(stored.Value) != string(value) {
		t.Errorf("stored %s, %v, want %s", stored.Value, err, value)
	}
}

// A restarted instance must replace its registration, whether or not its settings mark a first start.
func TestRegistrationReplacesPreviousOne(t *testing.T) {
	for _, first := range []bool{true, false} {
		d := newTestDaemon()
		d.settings.Instance.FirstStart = first
		for _, process := range []string{"1", "2"} {
			d.process = process
			if !d.registerAtStart(context.Background(), &registration{self: d.self()}) {
				t.Fatal("not registered")
			}
			requireRegistered(t, d.ports.Store, process)
			requireStored(t, d.ports.Store, d.self())
		}
	}
}

// The store comes back from a copy without the registration of an instance that has joined meanwhile, or with that of its process before.
// The instance had registered once and waited for its end, so that the others did not know it until it was restarted.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	earlier, later := processName(9, now.Add(-time.Hour)), processName(9, now.Add(time.Hour))
	cases := []struct{ name, restored, want string }{
		{"missing", "", ""},
		{"of an earlier process", earlier, ""},
		{"of a later process", later, later},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRestoredRegistration(t, c.restored, c.want) })
		})
	}
}

// testRestoredRegistration checks which process is registered after the store has come back with another one. An empty one that is wanted
// stands for the process that registered first.
func testRestoredRegistration(t *testing.T, restored, want string) {
	t.Helper()
	store, settings := lrplatform.NewMemory(), lrsettings.Default()
	settings.Instance.Name = "edge-1"
	d := New(settings, Ports{Store: store, InstancesKind: "instances"}, time.Now, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.register(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	requireRegistered(t, store, d.process)
	object, err := store.Get(ctx, "instances", "edge-1")
	if err == nil {
		err = store.Delete(ctx, object)
	}
	list := lrfleet.Changes[lrfleet.Instance]{Set: map[string]lrfleet.Instance{}, Revision: 1}
	if restored != "" && err == nil {
		list.Set["edge-1"] = lrfleet.Instance{Name: "edge-1", Process: restored}
		_, err = store.Create(ctx, "instances", "edge-1", []byte(`{"name":"edge-1","process":"`+restored+`"}`))
	}
	if err != nil {
		t.Fatal(err)
	}
	d.instances.Replace(time.Now(), list)
	time.Sleep(10 * time.Second)
	if want == "" {
		want = d.process
	}
	requireRegistered(t, store, want)
}

// Each write costs a call of the store, so none is made while the list has the registration or may not have it yet, and few are made for
// one that the store never lists.
func TestWritesOfRegistration(t *testing.T) {
	const settleTime = 4 * time.Second
	now := time.Unix(1000, 0)
	own, ahead := lrfleet.Instance{Name: "edge-1", Process: processName(1, now)}, processName(2, now.Add(time.Hour))
	count := func(entry lrfleet.Instance, length time.Duration, isConfirmed bool) int {
		r := registration{self: own, settleTime: settleTime, replaced: ahead, writtenAt: now}
		writes, isDue := 0, false
		for at := now; at.Before(now.Add(length)); at = at.Add(registrationCheckInterval) {
			r, isDue = r.withList(at, map[string]lrfleet.Instance{entry.Name: entry}, 0.5)
			if isDue {
				writes++
			}
			if isDue && isConfirmed {
				r = r.withWrite(at)
			}
		}
		return writes
	}
	cases := []struct {
		name        string
		entry       lrfleet.Instance
		length      time.Duration
		isConfirmed bool
		want        int
	}{
		{"listed", own, time.Hour, true, 0},
		{"not listed yet", lrfleet.Instance{}, settleTime, true, 0},
		{"never listed", lrfleet.Instance{}, time.Hour, true, maxRegistrationWrites},
		{"store away for a minute", lrfleet.Instance{}, time.Minute, false, 6},
		{"a later process", lrfleet.Instance{Name: "edge-1", Process: processName(1, now.Add(1))}, time.Hour, true, 0},
		{"a process without a start time", lrfleet.Instance{Name: "edge-1", Process: "7"}, time.Hour, true, 0},
		{"the replaced process, whose clock was ahead", lrfleet.Instance{Name: "edge-1", Process: ahead}, time.Hour, true, maxRegistrationWrites},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := count(c.entry, c.length, c.isConfirmed); got != c.want {
				t.Errorf("got %d writes, want %d", got, c.want)
			}
		})
	}
}
