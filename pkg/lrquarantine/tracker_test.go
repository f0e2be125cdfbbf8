package lrquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// instance is a tracker with a clock that the test sets.
type instance struct {
	*lrquarantine.Tracker
	now time.Time
	// requests counts the requests, no two of which are alike.
	requests int
}

// newInstance returns an instance that has been running for long enough to know which parts are sound: those of the names.
func newInstance(sound ...string) *instance {
	start := time.Unix(1000, 0)
	options := lrquarantine.DefaultTrackerOptions("a")
	i := &instance{Tracker: lrquarantine.NewTracker(start, options), now: start.Add(options.LearningTime)}
	for _, part := range sound {
		i.complete(part)
	}
	i.advance(time.Second)
	return i
}

func (i *instance) advance(duration time.Duration) { i.now = i.now.Add(duration) }

// request returns a request unlike all others that has the parts.
func (i *instance) request(parts ...string) lrquarantine.Request {
	i.requests++
	return lrquarantine.NewRequest(fmt.Sprint("request ", i.requests), parts...)
}

// crash makes a server crash on which requests with the given parts are in flight.
func (i *instance) crash(server string, inFlight ...[]string) {
	for _, parts := range inFlight {
		i.Crashed(i.now, server, i.request(parts...))
	}
	i.advance(100 * time.Millisecond)
}

func (i *instance) complete(parts ...string) { i.Completed(i.now, i.request(parts...)) }

// settle lets the time pass in which a verdict is open, while other requests are completed.
func (i *instance) settle() {
	for n := range 10 {
		i.complete(fmt.Sprint("other ", n))
	}
	i.advance(lrquarantine.DefaultTrackerOptions("a").SettleTime)
}

func (i *instance) admission(parts ...string) lrquarantine.Admission {
	return i.Check(i.now, i.request(parts...)).Admission
}

func requireAdmission(t *testing.T, i *instance, want lrquarantine.Admission, parts ...string) {
	t.Helper()
	requireEqual(t, i.admission(parts...), want, fmt.Sprint("admission of ", parts))
}

// TestPartThatCrashesServersIsQuarantined guards against requests that go on to crash servers because no two of them are alike, and against
// sound requests that are rejected because they share an account, a key or other parts with those.
func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	crashing := []string{"first", "second", "crashing"}
	t.Run("crashing part among sound ones", func(t *testing.T) {
		i := newInstance("first", "second")
		for n := range 3 {
			i.crash(fmt.Sprint("s", n), crashing, []string{"first", "second"}, []string{"first", fmt.Sprint("rare ", n%2)})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Admitted, "first", "rare 0")
		requireAdmission(t, i, lrquarantine.Rejected, crashing...)
		requireAdmission(t, i, lrquarantine.Rejected, "elsewhere", "crashing")
		requireAdmission(t, i, lrquarantine.Admitted, "first", "second")
	})
	t.Run("crashing first part", func(t *testing.T) {
		i := newInstance("second")
		for n := range 3 {
			i.crash(fmt.Sprint("s", n), []string{"crashing", "second"})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, "crashing", "second")
		requireAdmission(t, i, lrquarantine.Admitted, "second")
	})
	t.Run("two crashing parts at once", func(t *testing.T) {
		i := newInstance("first")
		for n := range 4 {
			i.crash(fmt.Sprint("s", n), []string{"first", "crashing"})
			i.crash(fmt.Sprint("r", n), []string{"first", "second crashing"})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, "first", "crashing")
		requireAdmission(t, i, lrquarantine.Rejected, "first", "second crashing")
		requireAdmission(t, i, lrquarantine.Admitted, "first")
	})
	t.Run("sound part that becomes crashing", func(t *testing.T) {
		i := newInstance("first", "second", "crashing")
		for n := range 3 {
			i.crash(fmt.Sprint("s", n), crashing)
			i.complete("first", "second")
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, crashing...)
		requireAdmission(t, i, lrquarantine.Admitted, "first", "second")
	})
	t.Run("part that comes with the crashing one alone", func(t *testing.T) {
		i := newInstance("first")
		for n := range 3 {
			i.crash(fmt.Sprint("s", n), []string{"first", "companion", "crashing"})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, "first", "companion", "crashing")
		requireAdmission(t, i, lrquarantine.Admitted, "first")
		i.advance(i.Check(i.now, i.request("companion")).Wait)
		i.complete("first", "companion")
		requireAdmission(t, i, lrquarantine.Admitted, "first", "companion")
	})
	t.Run("servers that crash at once when a request is sent again", func(t *testing.T) {
		i := newInstance("first", "second")
		for n := range 2 {
			request := i.request(crashing...)
			for m := range 2 {
				i.Crashed(i.now, fmt.Sprint("s", n, m), request)
				i.advance(time.Millisecond)
			}
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, crashing...)
	})
	t.Run("two crashes are not enough", func(t *testing.T) {
		i := newInstance("first", "second")
		i.crash("s1", crashing)
		i.crash("s2", crashing)
		i.settle()
		requireAdmission(t, i, lrquarantine.Admitted, crashing...)
	})
}

// TestSoundPartsAreNotQuarantined guards against sound requests that are rejected because their servers crash for other reasons.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	t.Run("all servers fail at the same moment", func(t *testing.T) {
		i := newInstance("first")
		for n := range 20 {
			i.Crashed(i.now.Add(time.Duration(n)*time.Millisecond), fmt.Sprint("s", n), i.request("first", "rare"))
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Admitted, "first", "rare")
	})
	t.Run("no server answers for a while", func(t *testing.T) {
		i := newInstance("first")
		for n := range 20 {
			i.crash(fmt.Sprint("s", n), []string{"first"})
		}
		i.advance(time.Minute)
		requireAdmission(t, i, lrquarantine.Admitted, "first")
	})
	t.Run("requests are completed between crashes", func(t *testing.T) {
		i := newInstance("first")
		for n := range 20 {
			i.crash(fmt.Sprint("s", n), []string{"first", "second"})
			i.complete("first", "second")
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Admitted, "first", "second")
	})
	t.Run("many servers crash while others tell late of completed requests", func(t *testing.T) {
		const newsAge = 300 * time.Millisecond
		i := newInstance("first")
		completed := i.request("first", "elsewhere")
		for n := range 100 {
			i.Crashed(i.now, fmt.Sprint("s", n), i.request("first", fmt.Sprint("second ", n)))
			i.Merge(i.now, lrquarantine.Updates{Completions: []lrquarantine.CompletionUpdate{{Trait: completed.Parts[0], Age: newsAge}}})
			i.complete(fmt.Sprint("other ", n))
			i.advance(60 * time.Millisecond)
			requireAdmission(t, i, lrquarantine.Admitted, "first", "sound")
		}
	})
	t.Run("one request is the cause", func(t *testing.T) {
		i := newInstance("first")
		request := i.request("first", "rare")
		for n := range 3 {
			i.Crashed(i.now, fmt.Sprint("s", n), request)
			i.advance(100 * time.Millisecond)
		}
		i.settle()
		requireEqual(t, i.Check(i.now, request).Admission, lrquarantine.Rejected, "admission of the request")
		requireAdmission(t, i, lrquarantine.Admitted, "first", "rare")
	})
	t.Run("one server breaks off again and again within a moment", func(t *testing.T) {
		i := newInstance("first")
		for range 10 {
			i.crash("s", []string{"first", "rare"})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Admitted, "first", "rare")
	})
}

// TestRequestsWaitForTheVerdict guards against servers that crash while the instances still tell one another what they have seen.
func TestRequestsWaitForTheVerdict(t *testing.T) {
	i := newInstance("first")
	for n := range 3 {
		i.crash(fmt.Sprint("s", n), []string{"first", "crashing"})
	}
	decision := i.Check(i.now, i.request("first", "crashing"))
	requireEqual(t, decision.Admission, lrquarantine.Delayed, "admission before the verdict")
	requireAdmission(t, i, lrquarantine.Admitted, "first", "other")
	i.advance(decision.Wait)
	requireAdmission(t, i, lrquarantine.Rejected, "first", "crashing")
}

// TestQuarantinedPartIsTriedAgain guards against a sound part that is rejected for good, and against a crashing one that is tried too often.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	quarantined := func() *instance {
		i := newInstance("first")
		for n := range 5 {
			i.crash(fmt.Sprint("s", n), []string{"first", "part"})
		}
		i.settle()
		requireAdmission(t, i, lrquarantine.Rejected, "first", "part")
		return i
	}
	t.Run("a completed trial ends the quarantine", func(t *testing.T) {
		i := quarantined()
		i.advance(i.Check(i.now, i.request("part")).Wait)
		request := i.request("first", "part")
		requireEqual(t, i.Begin(i.now, request).Admission, lrquarantine.Admitted, "admission of the trial")
		requireAdmission(t, i, lrquarantine.Rejected, "first", "part")
		i.advance(time.Second)
		i.Completed(i.now, request)
		requireAdmission(t, i, lrquarantine.Admitted, "first", "part")
		requireEqual(t, i.Quarantined(), 0, "quarantined traits")
	})
	t.Run("few trials while requests keep coming", func(t *testing.T) {
		i := quarantined()
		trials := 0
		for end := i.now.Add(10 * time.Minute); i.now.Before(end); i.advance(100 * time.Millisecond) {
			request := i.request("first", "part")
			if i.Begin(i.now, request).Admission == lrquarantine.Admitted {
				trials++
				i.Crashed(i.now, fmt.Sprint("t", trials), request)
			}
		}
		if trials < 1 || trials > 3 {
			t.Fatalf("got %d trials, want 1 to 3", trials)
		}
	})
	t.Run("forgotten after a long silence", func(t *testing.T) {
		i := quarantined()
		i.advance(lrquarantine.DefaultTrackerOptions("a").Retention)
		requireEqual(t, len(i.Updates(i.now).Verdicts), 0, "verdicts")
		requireAdmission(t, i, lrquarantine.Admitted, "first", "part")
	})
}

// exchange lets both instances tell each other what they know.
func exchange(a, b *instance) {
	b.now = a.now
	b.Merge(b.now, a.Updates(a.now))
	a.Merge(a.now, b.Updates(b.now))
}

// TestInstancesShareEvidence guards against crashes that no instance sees often enough to find their cause, and against verdicts that an
// instance finds because it lacks what others have seen.
func TestInstancesShareEvidence(t *testing.T) {
	crashing := []string{"first", "second", "crashing"}
	t.Run("each instance sees one crash", func(t *testing.T) {
		a, b, c := newInstance("first"), newInstance("second"), newInstance("first", "second")
		for n, i := range []*instance{a, b, c} {
			i.requests = 1000 * n
			i.advance(time.Duration(n) * 200 * time.Millisecond)
			i.crash(fmt.Sprint("s", n), crashing)
		}
		a.now, b.now = c.now, c.now
		for range 2 {
			exchange(a, b)
			exchange(b, c)
			exchange(c, a)
		}
		for _, i := range []*instance{a, b, c} {
			i.settle()
			requireAdmission(t, i, lrquarantine.Rejected, crashing...)
			requireAdmission(t, i, lrquarantine.Admitted, "first", "second")
		}
	})
	t.Run("an instance that starts later learns the verdicts", func(t *testing.T) {
		a := newInstance("first")
		for n := range 3 {
			a.crash(fmt.Sprint("s", n), []string{"first", "crashing"})
		}
		a.settle()
		requireAdmission(t, a, lrquarantine.Rejected, "first", "crashing")
		a.advance(10 * time.Second)
		late := &instance{Tracker: lrquarantine.NewTracker(a.now, lrquarantine.DefaultTrackerOptions("late")), now: a.now}
		exchange(a, late)
		requireAdmission(t, late, lrquarantine.Rejected, "first", "crashing")
	})
	t.Run("a completed request anywhere ends a quarantine", func(t *testing.T) {
		a, b := newInstance("first"), newInstance("first")
		for n := range 3 {
			a.crash(fmt.Sprint("s", n), []string{"first", "part"})
		}
		a.settle()
		requireAdmission(t, a, lrquarantine.Rejected, "first", "part")
		exchange(a, b)
		requireAdmission(t, b, lrquarantine.Rejected, "first", "part")
		b.advance(10 * time.Millisecond)
		b.complete("first", "part")
		a.advance(20 * time.Millisecond)
		exchange(a, b)
		requireAdmission(t, a, lrquarantine.Admitted, "first", "part")
		requireAdmission(t, b, lrquarantine.Admitted, "first", "part")
		exchange(a, b)
		requireEqual(t, a.Quarantined()+b.Quarantined(), 0, "quarantined traits")
	})
}

// TestLiftedVerdictStaysLifted guards against a part that is quarantined again because other instances go on telling of the crashes from before a
// request with it was completed.
func TestLiftedVerdictStaysLifted(t *testing.T) {
	a, b := newInstance("first"), newInstance("first")
	for n := range 3 {
		a.crash(fmt.Sprint("s", n), []string{"first", "part"})
	}
	news := a.Updates(a.now)
	b.now = a.now
	b.Merge(b.now, news)
	b.complete("first")
	b.settle()
	requireAdmission(t, b, lrquarantine.Rejected, "first", "part")
	verdict := b.Updates(b.now).Verdicts[0].Verdict
	verdict.Version, verdict.IsQuarantined = verdict.Version+1, false
	b.Merge(b.now, lrquarantine.Updates{Verdicts: []lrquarantine.VerdictUpdate{{Verdict: verdict}}})
	for n := range news.Crashes {
		news.Crashes[n].Age += lrquarantine.DefaultTrackerOptions("a").SettleTime
	}
	b.Merge(b.now, news)
	b.settle()
	requireAdmission(t, b, lrquarantine.Admitted, "first", "part")
}

// TestNewsOfOldCrashesIsNotNew guards against crashes that circulate between instances without end and multiply, because a server has crashed
// again since.
func TestNewsOfOldCrashesIsNotNew(t *testing.T) {
	a, b := newInstance("first"), newInstance("first")
	a.crash("s", []string{"first", "one"})
	a.advance(lrquarantine.DefaultTrackerOptions("a").CrashWindow)
	a.crash("s", []string{"first", "two"})
	first := lrquarantine.CrashUpdate{Server: "s", Request: a.request("first", "three")}
	for range 20 {
		exchange(a, b)
		first.Age = 2 * lrquarantine.DefaultTrackerOptions("a").CrashWindow
		b.Merge(b.now, lrquarantine.Updates{Crashes: []lrquarantine.CrashUpdate{first}})
		a.advance(20 * time.Millisecond)
	}
	a.advance(2 * lrquarantine.DefaultTrackerOptions("a").GossipTime)
	b.now = a.now
	requireEqual(t, len(a.Updates(a.now).Crashes)+len(b.Updates(b.now).Crashes), 0, "crashes that are still told")
	requireAdmission(t, b, lrquarantine.Admitted, "first", "three")
	requireEqual(t, b.Quarantined(), 0, "quarantined traits")
}

// TestVerdictIsStored guards against a verdict that is lost with a restart of all instances, because the one that decided it has not observed
// a crash, and the one that has observed the crashes has only heard of the verdict.
func TestVerdictIsStored(t *testing.T) {
	observer, decider := newInstance("first"), newInstance("first")
	for n := range 3 {
		observer.crash(fmt.Sprint("s", n), []string{"first", "crashing"})
	}
	decider.now = observer.now
	decider.Merge(decider.now, observer.Updates(observer.now))
	decider.settle()
	requireAdmission(t, decider, lrquarantine.Rejected, "first", "crashing")
	requireEqual(t, len(decider.Unsaved(decider.now)), 0, "verdicts that the decider stores at once")
	observer.now = decider.now
	observer.Merge(observer.now, decider.Updates(decider.now))
	unsaved := observer.Unsaved(observer.now)
	requireEqual(t, len(unsaved), 1, "verdicts that the observer stores")
	observer.Saved(unsaved[0])
	requireEqual(t, len(observer.Unsaved(observer.now)), 0, "verdicts left to store")
	decider.advance(5 * time.Second)
	requireEqual(t, len(decider.Unsaved(decider.now)), 1, "verdicts that the decider stores later")
}

// TestLostVerdictIsStoredAgain guards against a verdict that is in no store after that has come back from an older copy, and against
// instances that store without need what they are about to forget.
func TestLostVerdictIsStoredAgain(t *testing.T) {
	held := lrquarantine.Verdict{Trait: 7, Version: 3, IsQuarantined: true}
	earlier := lrquarantine.Verdict{Trait: 7, Version: 2}
	cases := []struct {
		name    string
		stored  []lrquarantine.Verdict
		isSound bool
		seenAge time.Duration
		want    int
	}{
		{"missing", nil, false, 0, 1},
		{"an earlier version", []lrquarantine.Verdict{earlier}, false, 0, 1},
		{"taken back, and stored as it was before", []lrquarantine.Verdict{earlier}, true, 0, 1},
		{"taken back, and missing", nil, true, 0, 0},
		{"stored", []lrquarantine.Verdict{held}, false, 0, 0},
		{"soon forgotten", nil, false, 9 * time.Minute, 0},
		{"forgotten", nil, false, 11 * time.Minute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i, verdict := newInstance(), held
			verdict.IsQuarantined = !c.isSound
			i.Merge(i.now, lrquarantine.Updates{Verdicts: []lrquarantine.VerdictUpdate{{Verdict: verdict, SeenAge: c.seenAge}}})
			i.SaveLost(i.now, func(lrquarantine.Trait) (lrquarantine.Verdict, bool) {
				return append(c.stored, lrquarantine.Verdict{})[0], len(c.stored) > 0
			}, time.Second)
			i.advance(2900 * time.Millisecond)
			requireEqual(t, len(i.Unsaved(i.now)), 0, "verdicts to store while others may store them")
			i.advance(100 * time.Millisecond)
			requireEqual(t, len(i.Unsaved(i.now)), c.want, "verdicts to store")
		})
	}
}

// TestTrackerMemoryIsBounded guards against crashes without end that fill the memory.
func TestTrackerMemoryIsBounded(t *testing.T) {
	options := lrquarantine.DefaultTrackerOptions("a")
	i := newInstance()
	for n := range 4 * options.MaxCrashes {
		for range options.MaxRequests + 1 {
			i.Crashed(i.now, fmt.Sprint("s", n), i.request(fmt.Sprint("p", i.requests), fmt.Sprint("q", i.requests)))
		}
		i.advance(10 * time.Millisecond)
	}
	updates := i.Updates(i.now)
	if len(updates.Crashes) > options.MaxCrashes*options.MaxRequests || len(updates.Crashes)*3 > options.MaxSuspicions+3*options.MaxRequests {
		t.Fatalf("%d requests of crashes are remembered", len(updates.Crashes))
	}
	if len(updates.Verdicts) > 64 {
		t.Fatalf("%d verdicts are sent at once", len(updates.Verdicts))
	}
}
