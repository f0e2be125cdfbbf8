package lrfleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

type noRollout struct{}

func (noRollout) IsHolder(time.Time) bool { return false }
func (noRollout) Closing() []string       { return nil }

// testFleet is a set of sharers that call one another without a network.
type testFleet struct {
	now     time.Time
	sharers []*Sharer
	// isCut tells whether two zones are cut off from each other, and dead which instances do not answer.
	isCut func(a, b string) bool
	dead  map[string]bool
	calls int
	// waiting is the number of requests that wait for an instance to be ready.
	waiting map[string]int
}

// newTestFleet returns a fleet of so many instances in each of three zones, which know one another.
func newTestFleet(perZone int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), isCut: func(string, string) bool { return false }, dead: map[string]bool{}, waiting: map[string]int{}}
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
	return NewSharer(SharerParts{
		Self: self, Directory: NewDirectory(zerolog.Nop()), Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85}),
		Limiter: lrlimit.NewShared(true), Crashes: NewCrashes(), Rollout: noRollout{}, Feeds: map[string]Relayed{},
		Clock: func() time.Time { return f.now }, Log: zerolog.Nop(), Kept: NewKeptWatch(KeptParts{Log: zerolog.Nop()}), Go: func(_ string, work func()) { go work() },
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

// run lets time pass, with all exchanges that are due.
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
			s.conclude(f.now)
		}
	}
}

func (f *testFleet) call(s *Sharer, p *peer) {
	f.calls++
	p.calling = false
	request, cursors := s.stateFor(f.now, p)
	if f.dead[p.Name] || f.isCut(s.Self.Zone, p.Zone) {
		p.failedAt = f.now
		return
	}
	reply, _ := f.find(p.Name).Share(context.Background(), request)
	p.sent = cursors
	s.hear(f.now, reply, true)
}

func TestAllInstancesReachAllOthers(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Reached(f.now), 9)
		requireEqual(t, s.Self.Name, len(s.SilentZones(f.now)), 0)
	}
}

// TestMessagesGrowWithTheFleet counts the exchanges of fleets of 9 and of 90 instances.
func TestMessagesGrowWithTheFleet(t *testing.T) {
	perInstance := func(perZone int) float64 {
		f := newTestFleet(perZone)
		f.run(time.Second)
		f.calls = 0
		f.run(4 * time.Second)
		return float64(f.calls) / float64(len(f.sharers))
	}
	requireEqual(t, "exchanges of an instance do not grow", perInstance(30) <= perInstance(3), true)
}

// TestLoadsOfAllInstancesAddUp counts one request at each instance.
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

// TestUseOfAllInstancesIsCharged lets one instance use a burst, which no other may use again.
func TestUseOfAllInstancesIsCharged(t *testing.T) {
	f := newTestFleet(3)
	for _, s := range f.sharers {
		_, _ = s.Limiter.Reserve(f.now, "school", 100, 1000, 1)
	}
	f.run(time.Second)
	_, ok := f.find("b2").Limiter.Reserve(f.now, "school", 100, 1000, 900)
	requireEqual(t, "the burst is there", ok, true)
	f.run(time.Second)
	for _, s := range f.sharers {
		_, ok := s.Limiter.Reserve(f.now, "school", 100, 1000, 500)
		requireEqual(t, s.Self.Name, ok, false)
	}
}

// TestRelayThatDies is replaced by another instance of its zone, and nothing is charged twice.
func TestRelayThatDies(t *testing.T) {
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

// TestZoneThatIsCutOffIsSilent divides the allowances along the cut, and heals it.
func TestZoneThatIsCutOffIsSilent(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	f.isCut = func(a, b string) bool { return (a == "c") != (b == "c") }
	f.run(2 * time.Second)
	requireEqual(t, "reached by a1", f.find("a1").Reached(f.now), 6)
	requireEqual(t, "reached by c1", f.find("c1").Reached(f.now), 3)
	requireEqual(t, "silent for a1", fmt.Sprint(f.find("a1").SilentZones(f.now)), "map[c:true]")
	requireEqual(t, "silent for c2", fmt.Sprint(f.find("c2").SilentZones(f.now)), "map[a:true b:true]")
	f.isCut = func(string, string) bool { return false }
	f.run(2 * time.Second)
	requireEqual(t, "reached by c1 after", f.find("c1").Reached(f.now), 9)
}

// TestNotesReachEveryInstanceAndEnd spreads a crash and new weights.
func TestNotesReachEveryInstanceAndEnd(t *testing.T) {
	f := newTestFleet(3)
	f.run(time.Second)
	for n := range 3 {
		f.find("a2").Crashes.Crashed(f.now, "digest", fmt.Sprint("server", n))
	}
	f.find("c1").TellWeights(f.now, WeightsNote{Server: "e", Model: "m", Version: 2})
	f.run(time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.Crashes.IsPoison(f.now, "digest"), true)
		requireEqual(t, s.Self.Name, len(s.weights.news(f.now)), 1)
	}
	f.run(4 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, len(s.weights.news(f.now)), 0)
	}
}

// TestOneInstanceOfEachZoneIsFirst leaves one that stands by in each zone when another zone is cut off, and lets the ranks of the others
// begin there.
func TestOneInstanceOfEachZoneIsFirst(t *testing.T) {
	f := newTestFleet(3)
	f.run(2 * time.Second)
	for _, s := range f.sharers {
		requireEqual(t, s.Self.Name, s.IsFirstOfZone(), s.Self.Name[1:] == "0")
	}
	requireEqual(t, "rank of b0", f.find("b0").Rank(f.now), 3)
	f.isCut = func(a, b string) bool { return (a == "a") != (b == "a") }
	f.run(2 * time.Second)
	requireEqual(t, "rank of b0 when zone a is cut off", f.find("b0").Rank(f.now), 0)
	requireEqual(t, "rank of a0", f.find("a0").Rank(f.now), 0)
}

// TestStrongestInstanceIsTheRelay lets an instance with more of a processor speak for its zone.
func TestStrongestInstanceIsTheRelay(t *testing.T) {
	strong, weak := Instance{Name: "z", Strength: 0.8}, Instance{Name: "a", Strength: 0.2}
	requireEqual(t, "strength goes first", precedes(strong, weak), true)
	requireEqual(t, "then the name", precedes(weak, Instance{Name: "b", Strength: 0.2}), true)
}

// TestRestartedInstanceTakesOverLevels restarts an instance while an account has used up half of its burst.
func TestRestartedInstanceTakesOverLevels(t *testing.T) {
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
		fresh.Limiter = lrlimit.NewShared(false)
		fresh.wantsLevels = true
		fresh.peers = s.peers
		f.sharers[n] = fresh
	}
	f.run(300 * time.Millisecond)
	fresh := f.find("c1")
	requireEqual(t, "levels are known", fresh.KnowsLevels(f.now), true)
	_, ok := fresh.Limiter.Reserve(f.now, "school", 1, 1000, 500)
	requireEqual(t, "half of the burst is there", ok, true)
	_, ok = fresh.Limiter.Reserve(f.now, "school", 1, 1000, 200)
	requireEqual(t, "no more than that", ok, false)
}

// TestInstanceThatIsNotListedIsHeard leaves the relay of another zone out of an instance's list, which it can only read
// from that relay.
func TestInstanceThatIsNotListedIsHeard(t *testing.T) {
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

// laggingFeed is a feed of which an instance knows an old revision only.
type laggingFeed struct {
	latest uint64
	age    time.Duration
}

func (l *laggingFeed) Latest() uint64                                        { return l.latest }
func (l *laggingFeed) ReadAge(time.Time) time.Duration                       { return l.age }
func (l *laggingFeed) NoteReadAge(_ time.Time, age time.Duration)            { l.age = age }
func (*laggingFeed) Encode() (map[string][]byte, uint64, error)              { return nil, 0, nil }
func (*laggingFeed) Decode(_ time.Time, _ map[string][]byte, _ uint64) error { return nil }

// TestInstanceThatLagsBehindReadsForItself does not take what others have read for its own while it does not have it.
func TestInstanceThatLagsBehindReadsForItself(t *testing.T) {
	f := newTestFleet(1)
	for _, s := range f.sharers {
		s.Feeds["feed"] = &laggingFeed{latest: 5}
	}
	behind, current := &laggingFeed{latest: 4, age: time.Hour}, &laggingFeed{latest: 5, age: time.Hour}
	f.find("b0").Feeds["feed"], f.find("c0").Feeds["feed"] = behind, current
	for _, s := range f.sharers {
		_, _ = s.Share(context.Background(), f.find("a0").firstState(f.now))
	}
	requireEqual(t, "age at the one behind", behind.age, time.Hour)
	requireEqual(t, "age at the other", current.age, 0)
}

// firstState returns what the sharer tells an instance that it has not heard yet.
func (s *Sharer) firstState(now time.Time) *lrpeerpb.FleetState {
	state, _ := s.stateFor(now, &peer{Instance: Instance{Name: "x", Zone: "x"}})
	return state
}

// flood has an account ask all instances for so many times its rate, in small requests, and returns what they admit. What
// comes to an instance that is not ready waits for it, and is asked for at once when it is.
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

// restart replaces an instance by a new process that knows nothing.
func (f *testFleet) restart(n int) {
	before := f.sharers[n]
	self := before.Self
	self.Process = fmt.Sprint(self.Name, ".", f.now.UnixMilli())
	listed := map[string]Instance{}
	for name, p := range before.peers {
		listed[name] = p.Instance
	}
	fresh := f.newSharer(self)
	fresh.Limiter = lrlimit.NewShared(false)
	fresh.wantsLevels = true
	fresh.SetInstances(f.now, listed)
	f.sharers[n] = fresh
}

// TestRestartOfAllInstancesKeepsTheRate kills all instances at once while an account asks for five times its rate, as on the
// days of a busy account on which all lose power. What they may use between them is what has come in while they were down.
func TestRestartOfAllInstancesKeepsTheRate(t *testing.T) {
	const rate, seconds, overage = 100_000.0, 3, 1.1
	for _, perZone := range []int{3, 30} {
		t.Run(fmt.Sprint(perZone, " instances a zone"), func(t *testing.T) {
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

// TestInstancesThatStartOneAfterAnotherKnowLevels restarts all instances within half a second. None of them may take levels over
// that another one has not heard either, nor be charged what others use of their own parts.
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

// TestRestartedInstanceKeepsTheRate restarts one instance after the other while an account asks for five times its rate.
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
