package lredge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// verdictTest is an instance, its store and the time.
type verdictTest struct {
	*Daemon
	objects  *lrplatform.Memory
	now      time.Time
	revision uint64
}

func newVerdictTest() *verdictTest {
	v := &verdictTest{objects: lrplatform.NewMemory(), now: time.Unix(1000, 0)}
	settings := lrsettings.Default()
	settings.Instance.Name = "edge-1"
	v.Daemon = New(settings, Ports{Store: v.objects, VerdictsKind: "verdicts"}, func() time.Time { return v.now }, zerolog.Nop())
	return v
}

// list gives the instance the list of stored verdicts that it has read.
func (v *verdictTest) list(t *testing.T) {
	t.Helper()
	objects, err := v.objects.List(context.Background(), "verdicts", "")
	if err != nil {
		t.Fatal(err)
	}
	v.revision++
	entries := map[string]lrquarantine.Verdict{}
	for _, o := range objects {
		var verdict lrquarantine.Verdict
		err := json.Unmarshal(o.Value, &verdict)
		if err != nil {
			t.Fatal(err)
		}
		entries[o.Name] = verdict
	}
	v.verdicts.Replace(v.now, lrfleet.Changes[lrquarantine.Verdict]{Set: entries, Revision: v.revision})
}

// restore puts the store back to a copy that holds the given verdicts alone.
func (v *verdictTest) restore(t *testing.T, verdicts ...lrquarantine.Verdict) {
	t.Helper()
	ctx := context.Background()
	objects, err := v.objects.List(ctx, "verdicts", "")
	for _, o := range objects {
		if err == nil {
			err = v.objects.Delete(ctx, o)
		}
	}
	for _, verdict := range verdicts {
		if err == nil {
			err = v.verdictStore().Save(ctx, verdict, verdict)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// save lets the instance store for the time what it has to.
func (v *verdictTest) save(length time.Duration) {
	for end := v.now.Add(length); v.now.Before(end); v.now = v.now.Add(saveVerdictsInterval) {
		v.saveVerdicts(context.Background(), v.now)
	}
}

// requireStored checks the version of the stored verdict; zero stands for none.
func (v *verdictTest) requireStored(t *testing.T, trait lrquarantine.Trait, version uint32) {
	t.Helper()
	var stored lrquarantine.Verdict
	object, err := v.objects.Get(context.Background(), "verdicts", trait.String())
	if !lrplatform.ErrNotFound.Has(err) {
		err = json.Unmarshal(object.Value, &stored)
		if err != nil {
			t.Fatal(err)
		}
	}
	if stored.Version != version {
		t.Errorf("stored: got version %d, want %d", stored.Version, version)
	}
}

// The store comes back from a copy that lacks a verdict or has an earlier one. No instance stored it again, so that after a restart of all
// of them the crashing prompts were let through again, or sound ones rejected.
func TestVerdictsOutlastRestoreOfStore(t *testing.T) {
	earlier := lrquarantine.Verdict{Trait: 7, Version: 1, IsQuarantined: true}
	lifted := lrquarantine.Verdict{Trait: 7, Version: 2}
	merge := func(v *verdictTest, verdict lrquarantine.Verdict) {
		v.quarantine.Merge(v.now, lrquarantine.Updates{Verdicts: []lrquarantine.VerdictUpdate{{Verdict: verdict, Age: time.Minute}}})
	}
	t.Run("verdict that the list had", func(t *testing.T) {
		v := newVerdictTest()
		merge(v, earlier)
		v.restore(t, earlier)
		v.list(t)
		v.restore(t)
		v.list(t)
		v.save(5 * time.Second)
		v.requireStored(t, 7, 1)
	})
	t.Run("verdict that was taken back", func(t *testing.T) {
		v := newVerdictTest()
		merge(v, lifted)
		v.restore(t, lifted)
		v.list(t)
		v.restore(t, earlier)
		v.list(t)
		v.save(5 * time.Second)
		v.requireStored(t, 7, 2)
	})
	t.Run("verdict that was stored and not listed yet", func(t *testing.T) {
		v := newVerdictTest()
		merge(v, earlier)
		v.quarantine.Begin(v.now, lrquarantine.Request{Whole: 7})
		v.save(time.Second)
		v.requireStored(t, 7, 2)
		v.restore(t)
		v.list(t)
		v.save(15 * time.Second)
		v.requireStored(t, 7, 2)
	})
	t.Run("verdict that another instance has stored again", func(t *testing.T) {
		v := newVerdictTest()
		merge(v, earlier)
		v.restore(t, earlier)
		v.list(t)
		v.restore(t)
		v.list(t)
		v.save(time.Second)
		v.restore(t, earlier)
		v.list(t)
		before, _ := v.objects.Get(context.Background(), "verdicts", earlier.Trait.String())
		v.save(15 * time.Second)
		after, _ := v.objects.Get(context.Background(), "verdicts", earlier.Trait.String())
		if len(v.quarantine.Unsaved(v.now)) > 0 || after.Version != before.Version {
			t.Errorf("the verdict was stored twice")
		}
	})
	t.Run("verdict that the instances have forgotten", func(t *testing.T) {
		v := newVerdictTest()
		merge(v, earlier)
		v.restore(t, earlier)
		v.list(t)
		v.now = v.now.Add(lrquarantine.DefaultTrackerOptions("").Retention)
		v.newVerdictCleaner(0)(context.Background(), v.now)
		v.list(t)
		v.save(15 * time.Second)
		v.requireStored(t, 7, 0)
	})
}
