package lrorder

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	tick          = 100 * time.Millisecond
	settle        = 5 * time.Second
	versionSettle = 2 * time.Second
	maxLagTicks   = 20
	loadTicks     = 2
	runTicks      = 2000
	stepTicks     = 5
	randomRuns    = 100
	modelName     = "award-review"
)

// next is how a holder chooses its next order.
type next func(now time.Time, desired []Model, engines []Engine, settle time.Duration) (Order, bool)

// serving is how a router chooses the version to which it sends requests.
type serving func(desired, present string, engines map[string]int, settled bool) string

// TestModelStaysServed rolls out new versions while engines crash. Holders and routers know the state of engines with a
// lag of up to two seconds.
func TestModelStaysServed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(randomRuns) {
		violations := newRollout(seed, Next, ServingVersion).run()
		if len(violations) > 0 {
			t.Errorf("seed %d: %s", seed, violations[0])
		}
	}
}

// TestNaiveRolloutFails updates each engine as soon as it is outdated and sends requests to the desired version at once.
// The simulation must detect that this breaks the rules.
func TestNaiveRolloutFails(t *testing.T) {
	t.Parallel()
	failedRuns := 0
	const runs = randomRuns / 10
	for seed := range uint64(runs) {
		if len(newRollout(seed, naiveNext, naiveServing).run()) > 0 {
			failedRuns++
		}
	}
	t.Logf("the naive rollout breaks a rule in %d of %d runs", failedRuns, runs)
	requireEqual(t, failedRuns > 0, true, "the naive rollout is detected")
}

func naiveNext(_ time.Time, desired []Model, engines []Engine, _ time.Duration) (Order, bool) {
	for _, e := range engines {
		if e.IsOwn && e.Reachable && e.Versions[desired[0].Name] != desired[0].Version {
			return Order{Engine: e.Name, Kind: KindLoad, Model: desired[0].Name, Version: desired[0].Version}, true
		}
	}
	return Order{}, false
}

func naiveServing(desired, _ string, _ map[string]int, _ bool) string { return desired }

// engineState is the actual state of an engine at one tick.
type engineState struct {
	version   string
	reachable bool
}

// rollout is one run of the simulation.
type rollout struct {
	random  *rand.Rand
	next    next
	serving serving
	names   []string
	zones   map[string]int
	now     map[string]engineState
	history []map[string]engineState
	// loading maps each engine that is loading to the version and to the tick at which the load ends.
	loading map[string]loading
	downFor map[string]int
	holders map[holderID]map[string]Engine
	// holderServed is the version to which the instance of each holder sends requests.
	holderServed map[holderID]string
	routers      []string
	// routerSeen and routerChanged are the versions that each router saw last and when they changed.
	routerSeen    []map[string]string
	routerChanged [4]time.Time
	lags          []int
	desired       string
	// desiredSince is when the desired version changed last.
	desiredSince time.Time
	violations   []string
}

type loading struct {
	version string
	until   int
	by      holderID
}

type holderID struct{ zone, shard int }

func newRollout(seed uint64, choose next, serve serving) *rollout {
	r := &rollout{
		random: rand.New(rand.NewPCG(seed, 0)), next: choose, serving: serve, zones: map[string]int{}, now: map[string]engineState{},
		loading: map[string]loading{}, downFor: map[string]int{}, holders: map[holderID]map[string]Engine{},
		holderServed: map[holderID]string{}, desired: "1",
	}
	for n := range 2 + r.random.IntN(14) {
		name := fmt.Sprintf("engine-%d", n)
		r.names = append(r.names, name)
		r.zones[name] = n % 3
		r.now[name] = engineState{version: "1", reachable: true}
	}
	for range 4 {
		r.routers = append(r.routers, "1")
		r.routerSeen = append(r.routerSeen, map[string]string{})
		r.lags = append(r.lags, r.random.IntN(maxLagTicks))
	}
	return r
}

func (r *rollout) run() []string {
	changeTicks := []int{100, 100 + r.random.IntN(400)}
	for n := range runTicks {
		if slices.Contains(changeTicks, n) {
			r.desired, r.desiredSince = fmt.Sprint(n+2), at(n)
		}
		r.crash(n)
		r.finishLoads(n)
		r.history = append(r.history, maps.Clone(r.now))
		r.choose(n)
		r.order(n)
		r.check(n)
	}
	for name, e := range r.now {
		if e.version != r.desired {
			r.violations = append(r.violations, name+" never came to the desired version")
		}
	}
	return r.violations
}

// crash stops a random engine for some ticks in some of the ticks, unless there are fewer than four engines or one is
// down already. The engine restarts with its weights.
func (r *rollout) crash(n int) {
	for name := range r.downFor {
		r.downFor[name]--
		if r.downFor[name] <= 0 {
			delete(r.downFor, name)
			r.now[name] = engineState{version: r.now[name].version, reachable: true}
		}
	}
	if len(r.names) < 4 || len(r.downFor) > 0 || r.random.IntN(200) > 0 || n > runTicks/2 {
		return
	}
	name := r.names[r.random.IntN(len(r.names))]
	r.downFor[name] = 1 + r.random.IntN(100)
	r.now[name] = engineState{version: r.now[name].version}
	delete(r.loading, name)
}

func (r *rollout) finishLoads(n int) {
	for name, l := range r.loading {
		if n >= l.until {
			r.now[name] = engineState{version: l.version, reachable: true}
			delete(r.loading, name)
		}
	}
}

// seen returns the state of the engines some ticks ago.
func (r *rollout) seen(lag int) map[string]engineState {
	return r.history[max(0, len(r.history)-1-lag)]
}

func (r *rollout) choose(n int) {
	for router := range r.routers {
		seen := r.seen(r.lags[router])
		counts := map[string]int{}
		for name, e := range seen {
			if e.reachable {
				counts[e.version]++
			}
			if r.routerSeen[router][name] != e.version {
				r.routerSeen[router][name] = e.version
				r.routerChanged[router] = at(n)
			}
		}
		settled := at(n).Sub(later(r.desiredSince, r.routerChanged[router])) >= versionSettle
		r.routers[router] = r.serving(r.desired, r.routers[router], counts, settled)
	}
}

// at returns the time of a tick.
func at(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * tick) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *rollout) order(n int) {
	now := at(n)
	for zone := range 3 {
		for shard := range ShardsPerZone {
			id := holderID{zone, shard}
			if r.isLoading(id) || (n+zone+shard)%stepTicks > 0 {
				continue
			}
			engines := r.view(id, now)
			r.holderServed[id] = r.serving(r.desired, r.holderServed[id], countVersions(engines), r.isSettled(id, now))
			model := Model{Name: modelName, Version: r.desired, ServedVersion: r.holderServed[id], DesiredSince: r.desiredSince}
			order, ok := r.next(now, []Model{model}, engines, settle)
			if ok && r.now[order.Engine].reachable {
				r.loading[order.Engine] = loading{version: order.Version, until: n + loadTicks, by: id}
			}
		}
	}
}

func (r *rollout) isSettled(id holderID, now time.Time) bool {
	latest := r.desiredSince
	for _, e := range r.holders[id] {
		latest = later(latest, e.ChangedAt)
	}
	return now.Sub(latest) >= versionSettle
}

func countVersions(engines []Engine) map[string]int {
	counts := map[string]int{}
	for _, e := range engines {
		if e.Reachable {
			counts[e.Versions[modelName]]++
		}
	}
	return counts
}

func (r *rollout) isLoading(id holderID) bool {
	for _, l := range r.loading {
		if l.by == id {
			return true
		}
	}
	return false
}

// view returns what a holder knows: the present state of its own engines, and that of all others with a lag.
func (r *rollout) view(id holderID, now time.Time) []Engine {
	before := r.holders[id]
	view := make(map[string]Engine, len(r.names))
	engines := make([]Engine, 0, len(r.names))
	for _, name := range r.names {
		mine := r.zones[name] == id.zone && Shard(name) == id.shard
		e := r.seen(r.lags[(id.zone+id.shard)%len(r.lags)])[name]
		if mine {
			e = r.now[name]
		}
		known := Engine{
			Name: name, Models: []string{modelName}, Versions: map[string]string{modelName: e.version},
			IsOwn: mine, Reachable: e.reachable, ChangedAt: before[name].ChangedAt,
		}
		if before[name].Versions[modelName] != e.version {
			known.ChangedAt = now
		}
		view[name] = known
		engines = append(engines, known)
	}
	r.holders[id] = view
	return engines
}

// check asserts that every router finds a reachable engine of its version and that no zone has more than two loads at
// once.
func (r *rollout) check(n int) {
	for router, version := range r.routers {
		served := slices.ContainsFunc(r.names, func(name string) bool { return r.now[name].reachable && r.now[name].version == version })
		if !served {
			r.violations = append(r.violations, fmt.Sprintf("tick %d: router %d sends to version %s, which no engine serves", n, router, version))
		}
	}
	loads := map[int]int{}
	for name := range r.loading {
		loads[r.zones[name]]++
		if loads[r.zones[name]] > 2 {
			r.violations = append(r.violations, fmt.Sprintf("tick %d: three loads at once in a zone", n))
		}
	}
}

// TestMaySend covers orders near the beginning and the end of a lease.
func TestMaySend(t *testing.T) {
	times := Timeouts{CallTimeout: 3 * time.Second, ValidFor: 2 * time.Second}
	cases := []struct {
		name             string
		lease            LeaseStatus
		checks, ignoring bool
	}{
		{"new lease after an expired one", LeaseStatus{Remaining: 15 * time.Second}, false, false},
		{"orders of the previous holder have ended", LeaseStatus{Remaining: 15 * time.Second, HeldFor: 5 * time.Second}, true, true},
		{"previous holder released the lease", LeaseStatus{Remaining: 15 * time.Second, Released: true}, true, true},
		{"lease ends while the order is valid", LeaseStatus{Remaining: 5 * time.Second, HeldFor: time.Hour}, true, false},
		{"lease ends while the call runs", LeaseStatus{Remaining: 3 * time.Second, HeldFor: time.Hour}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			requireEqual(t, times.MaySend(c.lease, true), c.checks, "to an engine that checks")
			requireEqual(t, times.MaySend(c.lease, false), c.ignoring, "to an engine that ignores")
		})
	}
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
