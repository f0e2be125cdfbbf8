package lrfleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

type noRollout struct{}

func (noRollout) IsHolder(time.Time) bool { return false }
func (noRollout) Closing() []string       { return nil }
func (noRollout) HighestFence() uint64    { return 0 }
func (noRollout) RecordFence(uint64)      {}

// testFleet is a set of sharers that call one another without a network.
type testFleet struct {
	now     time.Time
	sharers []*Sharer
	// isPartitioned reports whether two zones cannot reach each other. dead holds the instances that do not answer.
	isPartitioned func(a, b string) bool
	dead          map[string]bool
	calls         int
	// waiting is the number of requests that wait for each instance to become ready.
	waiting map[string]int
}

// newTestFleet returns a fleet with perZone instances in each of three zones, which know one another.
func newTestFleet(perZone int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), isPartitioned: func(string, string) bool { return false }, dead: map[string]bool{}, waiting: map[string]int{}}
	listed := map[string]Instance{}
	for _, zone := range []string{"a", "b", "c"} {
		for n := range perZone {
			i := Instance{Name: fmt.Sprint(zone, n), Zone: zone, PeerAddress: "127.0.0.1:1", Process: fmt.Sprint(zone, n, ".1")}
			listed[i.Name] = i
			f.sharers = append(f.sharers, f.newSharer(i))
		}
	}
	for _, s := range f.sharers {
		s.SetInstances(f.now, listed)
	}
	return f
}

func (f *testFleet) newSharer(self Instance) *Sharer {
	return NewSharer(SharerDependencies{
		Self: self, Directory: NewDirectory(zerolog.Nop()), Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85}),
		Limiter: lrlimit.NewSharedLimiter(true), Quarantine: lrquarantine.NewTracker(f.now, lrquarantine.DefaultTrackerOptions(self.Name)), Notices: lrnotice.NewBoard(self.Name), Responses: lrretry.NewResponseMonitor(lrretry.Alone(), 1), Rollout: noRollout{}, Releases: lrcanary.NewBoard(lrcanary.Options{Random: func() float64 { return 0 }}), Feeds: map[string]SharedFeed{},
		Clock: func() time.Time { return f.now }, Log: zerolog.Nop(), KVStores: NewKVStoreWatch(KVStoreWatchDependencies{Log: zerolog.Nop()}), Go: func(_ string, work func()) { go work() },
	}, false)
}

func (f *testFleet) find(name string) *Sharer {
	for _, s := range f.sharers {
		if s.Self.Name == name {
			return s
		}
	}
	return nil
}

// run advances the time and makes all exchanges that become due.
func (f *testFleet) run(duration time.Duration) {
	const step = 20 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		for _, s := range f.sharers {
			if f.dead[s.Self.Name] {
				continue
			}
			for _, p := range s.due(f.now) {
				f.call(s, p)
			}
			s.applyReports(f.now)
		}
	}
}

func (f *testFleet) call(s *Sharer, p *peer) {
	f.calls++
	p.calling = false
	request, cursors := s.stateFor(f.now, p)
	if f.dead[p.Name] || f.isPartitioned(s.Self.Zone, p.Zone) {
		p.failedAt = f.now
		return
	}
	reply, _ := f.find(p.Name).Share(context.Background(), request)
	p.sent = cursors
	s.receive(f.now, reply, true)
}

func TestAllInstancesReachAllOthers(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Reached(f.now), 9)
		requireEqual(t, s.Self.Name, len(s.UnreachableZones(f.now)), 0)
	}
}

// TestExchangesPerInstanceDoNotGrowWithFleet compares the exchanges of an instance in fleets of 9 and 90 instances.
func TestExchangesPerInstanceDoNotGrowWithFleet(t *testing.T) {
	perInstance := func(perZone int) float64 {
		f := newTestFleet(perZone)
		f.run(time.Second)
		f.calls = 0
		f.run(4 * time.Second)
		return float64(f.calls) / float64(len(f.sharers))
	}
	requireEqual(t, "exchanges of an instance do not grow", perInstance(30) <= perInstance(3), true)
}

// TestLoadsOfAllInstancesAddUp places one request on each instance and checks that all of them know the total load.
func TestLoadsOfAllInstancesAddUp(t *testing.T) {
	f := newTestFleet(3)
	f.run(time.Second)
	for _, s := range f.sharers {
		_, _ = s.Balancer.Choose(f.now, lrbalance.Request{Tokens: 100}, []lrbalance.Engine{{ID: "e"}})
	}
	f.run(time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Balancer.Load("e"), lrbalance.Load{Waiting: 900, Running: 9})
	}
}

// TestUseOfAllInstancesIsCharged checks that a burst which one instance has used cannot be used again on any other.
func TestUseOfAllInstancesIsCharged(t *testing.T) {
	f := newTestFleet(3)
	for _, s := range f.sharers {
		_, _ = s.Limiter.Reserve(f.now, "school", 100, 1000, 1)
	}
	f.run(time.Second)
	_, ok := f.find("b2").Limiter.Reserve(f.now, "school", 100, 1000, 900)
	requireEqual(t, "the burst is available", ok, true)
	f.run(time.Second)
	for _, s := range f.sharers {
		_, ok := s.Limiter.Reserve(f.now, "school", 100, 1000, 500)
		requireEqual(t, s.Self.Name, ok, false)
	}
}

// TestDeadRelayIsReplaced checks that another instance replaces a dead relay and that no usage is charged twice.
func TestDeadRelayIsReplaced(t *testing.T) {
	f := newTestFleet(3)
	for _, s := range f.sharers {
		_, _ = s.Limiter.Reserve(f.now, "school", 100, 1000, 100)
	}
	f.run(time.Second)
	f.dead["a0"] = true
	f.run(4 * time.Second)
	for _, s := range f.sharers {
		if s.Self.Name != "a0" {
			requireEqual(t, s.Self.Name, s.Reached(f.now), 8)
			level := s.Limiter.Levels(f.now)["school"]
			requireEqual(t, fmt.Sprint(s.Self.Name, " level ", level), level > 400, true)
		}
	}
}

// TestPartitionedZoneIsUnreachable partitions a zone and heals the partition. Each side reaches only its own instances meanwhile and
// reports the zones of the other side as unreachable.
func TestPartitionedZoneIsUnreachable(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	f.isPartitioned = func(a, b string) bool { return (a == "c") != (b == "c") }
	f.run(2 * time.Second)
	requireEqual(t, "reached by a1", f.find("a1").Reached(f.now), 6)
	requireEqual(t, "reached by c1", f.find("c1").Reached(f.now), 3)
	requireEqual(t, "unreachable for a1", fmt.Sprint(f.find("a1").UnreachableZones(f.now)), "map[c:true]")
	requireEqual(t, "unreachable for c2", fmt.Sprint(f.find("c2").UnreachableZones(f.now)), "map[a:true b:true]")
	f.isPartitioned = func(string, string) bool { return false }
	f.run(2 * time.Second)
	requireEqual(t, "reached by c1 after the partition", f.find("c1").Reached(f.now), 9)
}

// TestUpdatesReachEveryInstanceAndExpire sends crashes and new weights to all instances and checks that the latter are not passed on forever.
func TestUpdatesReachEveryInstanceAndExpire(t *testing.T) {
	f := newTestFleet(3)
	f.run(time.Second)
	for n := range 3 {
		f.find("a2").Quarantine.Crashed(f.now, fmt.Sprint("server", n), lrquarantine.NewRequest("digest"))
	}
	f.find("c1").ReportWeights(f.now, WeightsUpdate{Server: "e", Model: "m", Version: 2})
	f.run(time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Quarantine.Check(f.now, lrquarantine.NewRequest("digest")).Admission, lrquarantine.Rejected)
		requireEqual(t, s.Self.Name, len(s.weightsUpdates.updates(f.now)), 1)
	}
	f.run(4 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, len(s.weightsUpdates.updates(f.now)), 0)
	}
}

// TestOneInstanceOfEachZoneIsFirst checks that each zone has one first instance, which stands by for duties. When a zone is partitioned
// off, ranks on both sides begin at zero.
func TestOneInstanceOfEachZoneIsFirst(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.IsFirstOfZone(), s.Self.Name[1:] == "0")
	}
	requireEqual(t, "rank of b0", f.find("b0").Rank(f.now), 3)
	f.isPartitioned = func(a, b string) bool { return (a == "a") != (b == "a") }
	f.run(2 * time.Second)
	requireEqual(t, "rank of b0 when zone a is partitioned", f.find("b0").Rank(f.now), 0)
	requireEqual(t, "rank of a0", f.find("a0").Rank(f.now), 0)
}

// TestStrongestInstanceIsTheRelay checks that the instance with the largest share of a CPU is the relay of its zone, then the first by
// name.
func TestStrongestInstanceIsTheRelay(t *testing.T) {
	strong, weak := Instance{Name: "z", Strength: 0.8}, Instance{Name: "a", Strength: 0.2}
	requireEqual(t, "the stronger one precedes", precedes(strong, weak), true)
	requireEqual(t, "then the first by name", precedes(weak, Instance{Name: "b", Strength: 0.2}), true)
}

// TestRestartedInstanceReceivesLevels restarts an instance after an account has used half of its burst. The new process must take the
// level from the other instances.
func TestRestartedInstanceReceivesLevels(t *testing.T) {
	f := newTestFleet(3)
	_, _ = f.find("b2").Limiter.Reserve(f.now, "school", 1, 1000, 1)
	f.run(time.Second)
	for _, s := range f.sharers {
		_, _ = s.Limiter.Reserve(f.now, "school", 1, 1000, 50)
	}
	f.run(time.Second)
	for n, s := range f.sharers {
		if s.Self.Name != "c1" {
			continue
		}
		self := s.Self
		self.Process = "c1.2"
		fresh := f.newSharer(self)
		fresh.Limiter = lrlimit.NewSharedLimiter(false)
		fresh.wantsLevels = true
		fresh.peers = s.peers
		f.sharers[n] = fresh
	}
	f.run(300 * time.Millisecond)
	fresh := f.find("c1")
	requireEqual(t, "levels are known", fresh.KnowsLevels(f.now), true)
	_, ok := fresh.Limiter.Reserve(f.now, "school", 1, 1000, 500)
	requireEqual(t, "half of the burst is available", ok, true)
	_, ok = fresh.Limiter.Reserve(f.now, "school", 1, 1000, 200)
	requireEqual(t, "more than half of the burst is available", ok, false)
}

// TestUnlistedInstanceIsAddedOnFirstMessage omits the relay of another zone from an instance's list, as when the newer list can only be
// fetched from that relay.
func TestUnlistedInstanceIsAddedOnFirstMessage(t *testing.T) {
	f := newTestFleet(3)
	b0 := f.find("b0")
	listed := map[string]Instance{}
	for name, p := range b0.peers {
		if name != "a0" {
			listed[name] = p.Instance
		}
	}
	b0.SetInstances(f.now, listed)
	requireEqual(t, "listed", len(b0.peers), 7)
	f.run(2 * time.Second)
	b0.SetInstances(f.now, listed)
	requireEqual(t, "known", b0.Instances(), 9)
	requireEqual(t, "address", b0.peers["a0"].PeerAddress, "127.0.0.1:1")
}

// TestLaggingInstanceIgnoresReadAgesOfOthers checks that a read by another instance does not count on an instance that has not received
// its result yet.
func TestLaggingInstanceIgnoresReadAgesOfOthers(t *testing.T) {
	f := newTestFleet(1)
	followers := map[string]*Follower[string]{}
	for _, s := range f.sharers {
		followers[s.Self.Name] = followerWithGrace(f.now.Add(-time.Hour), "a")
		s.Feeds["feed"] = followers[s.Self.Name]
	}
	for _, name := range []string{"a0", "c0"} {
		followers[name].ReplaceFromPeer(f.now, FeedVersion{Revision: 11}, listOf(11, "a", "b"))
	}
	followers["a0"].Replace(f.now, listOf(11, "a", "b"))
	for _, s := range f.sharers {
		_, _ = s.Share(context.Background(), f.find("a0").firstState(f.now))
	}
	requireEqual(t, "age on the lagging instance", ageOf(followers["b0"], f.now), time.Hour)
	requireEqual(t, "age on the current instance", ageOf(followers["c0"], f.now), 0)
}

// firstState returns what the sharer sends to an instance from which it has received nothing yet.
func (s *Sharer) firstState(now time.Time) *lrpeerpb.FleetState {
	state, _ := s.stateFor(now, &peer{Instance: Instance{Name: "x", Zone: "x"}})
	return state
}

// flood makes an account request a multiple of its rate from all instances, in small requests, and returns the tokens that they admit.
// Requests to an instance that is not ready wait and are made at once when it is.
func (f *testFleet) flood(duration time.Duration, rate, times float64) float64 {
	const step, requests = 20 * time.Millisecond, 4
	admitted := 0.0
	tokens := rate * times * step.Seconds() / float64(len(f.sharers)) / requests
	for end := f.now.Add(duration); f.now.Before(end); {
		for _, s := range f.sharers {
			f.waiting[s.Self.Name] += requests
			if f.dead[s.Self.Name] || !s.KnowsLevels(f.now) {
				continue
			}
			for ; f.waiting[s.Self.Name] > 0; f.waiting[s.Self.Name]-- {
				if _, ok := s.Limiter.Reserve(f.now, "school", rate, rate, tokens); ok {
					admitted += tokens
				}
			}
		}
		f.run(step)
	}
	return admitted
}

// restart replaces an instance by a new process without any state.
func (f *testFleet) restart(n int) {
	before := f.sharers[n]
	self := before.Self
	self.Process = fmt.Sprint(self.Name, ".", f.now.UnixMilli())
	listed := map[string]Instance{}
	for name, p := range before.peers {
		listed[name] = p.Instance
	}
	fresh := f.newSharer(self)
	fresh.Limiter = lrlimit.NewSharedLimiter(false)
	fresh.wantsLevels = true
	fresh.SetInstances(f.now, listed)
	f.sharers[n] = fresh
}

// TestRestartOfAllInstancesKeepsTheRate kills all instances at once, as in a power failure, while an account requests five times its
// rate. After the restart they may admit together no more than the rate and burst allow.
func TestRestartOfAllInstancesKeepsTheRate(t *testing.T) {
	const rate, seconds, overage = 100_000.0, 3, 1.1
	for _, perZone := range []int{3, 30} {
		t.Run(fmt.Sprint(perZone, " instances per zone"), func(t *testing.T) {
			f := newTestFleet(perZone)
			f.run(time.Second)
			for _, s := range f.sharers {
				f.dead[s.Self.Name] = true
			}
			requireEqual(t, "admitted while all are down", f.flood(time.Second, rate, 5), 0)
			f.dead = map[string]bool{}
			for n := range f.sharers {
				f.restart(n)
			}
			admitted := f.flood(seconds*time.Second, rate, 5)
			bound := (rate*seconds + rate) * overage
			requireEqual(t, fmt.Sprintf("admitted %.0f of %.0f", admitted, bound), admitted <= bound, true)
			requireEqual(t, fmt.Sprintf("admitted %.0f", admitted), admitted >= rate*(seconds-1), true)
		})
	}
}

// TestInstancesThatStartOneAfterAnotherKnowLevels restarts all instances within half a second. None of them may take levels from an
// instance that has received none itself, nor be charged for what others use of their own shares.
func TestInstancesThatStartOneAfterAnotherKnowLevels(t *testing.T) {
	const rate = 100_000.0
	f := newTestFleet(30)
	f.run(time.Second)
	for _, s := range f.sharers {
		f.dead[s.Self.Name] = true
	}
	f.flood(time.Second, rate, 2)
	for n, s := range f.sharers {
		f.restart(n)
		delete(f.dead, s.Self.Name)
		if n%30 == 29 {
			f.flood(200*time.Millisecond, rate, 2)
		}
	}
	for range 10 {
		f.flood(100*time.Millisecond, rate, 2)
		for _, s := range f.sharers {
			level := s.Limiter.Levels(f.now)["school"]
			requireEqual(t, fmt.Sprintf("%s has a level of %.0f", s.Self.Name, level), level > -rate/2, true)
		}
	}
}

// TestRestartedInstanceKeepsTheRate restarts the instances one after another while an account requests five times its rate.
func TestRestartedInstanceKeepsTheRate(t *testing.T) {
	const rate, overage = 100_000.0, 1.1
	f := newTestFleet(3)
	f.run(time.Second)
	admitted, seconds := f.flood(time.Second, rate, 5), 1.0
	for n := range f.sharers {
		f.restart(n)
		admitted += f.flood(time.Second, rate, 5)
		seconds++
	}
	bound := (rate*seconds + rate) * overage
	requireEqual(t, fmt.Sprintf("admitted %.0f of %.0f", admitted, bound), admitted <= bound, true)
	requireEqual(t, fmt.Sprintf("admitted %.0f", admitted), admitted >= rate*seconds*0.9, true)
}
