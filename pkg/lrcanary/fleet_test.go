package lrcanary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick        = 50 * time.Millisecond
	testService = "s"
	exposure    = 0.1
	slack       = 50
	rollback    = 5 * time.Second
)

// answerOf is how a server answers a request: whether it fails, and after what time.
type answerOf func(f *testFleet, server Server, route string) (bool, time.Duration)

// testFleet is a deployment without a network: instances that share one service, its servers and a store.
type testFleet struct {
	random *rand.Rand
	// gossipDelay is the age of what instances know of one another.
	gossipDelay time.Duration
	now         time.Time
	ordered     time.Time
	entry       Entry
	hasSpec     bool
	servers     []Server
	answer      answerOf
	// perSecond is the number of requests a second of all instances.
	perSecond float64
	boards    []*Board
	// dead instances do nothing, and side tells the instances of the two sides of a partition apart.
	dead        map[int]bool
	side        func(instance int) int
	holder      int
	fence       uint64
	isStoreDown bool
	// ended is the evidence of instances that have ended.
	ended   Evidence
	told    []told
	running []running
	// requests and toNew count the requests since the order, and late those to the new release long after its 50th bad answer.
	requests, toNew, refused, late, toStopped int
	bad                                       int
	lastBadAt                                 time.Time
	decidedAt                                 time.Time
	load                                      map[string]int
}

// told is what all instances said at a time.
type told struct {
	at       time.Time
	news     [][]News
	gauges   []map[uint64]Gauge
	evidence []Evidence
	ended    Evidence
}

type running struct {
	until      time.Time
	instance   *Board
	assignment Assignment
	server     Server
	route      string
	isFailed   bool
	took       time.Duration
}

func newTestFleet(seed uint64, instances int, answer answerOf) *testFleet {
	f := &testFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), gossipDelay: 400 * time.Millisecond, answer: answer, perSecond: 600, fence: 1, ended: Evidence{},
		dead: map[int]bool{}, side: func(int) int { return 0 }, load: map[string]int{},
	}
	for range instances {
		b := f.newBoard()
		b.options.StartedAt = time.Time{}
		f.boards = append(f.boards, b)
	}
	for n := range 8 {
		f.servers = append(f.servers, Server{ID: fmt.Sprint("old-", n), Release: "v1"}, Server{ID: fmt.Sprint("new-", n), Release: "v2"})
	}
	return f
}

func (f *testFleet) newBoard() *Board {
	return NewBoard(Options{ExposureShare: exposure, StartedAt: f.now, Random: f.random.Float64})
}

// order writes the operator's entry.
func (f *testFleet) order(to string, duration time.Duration) {
	f.entry = Entry{Name: testService, To: to, Duration: duration, Revision: f.entry.Revision + 1, StoredState: f.entry.StoredState, StoredTo: f.entry.StoredTo}
	f.hasSpec, f.ordered, f.requests, f.toNew, f.decidedAt = true, f.now, 0, 0, time.Time{}
}

// restart replaces an instance by a new process.
func (f *testFleet) restart(instance int) {
	f.ended.Add(f.boards[instance].Own())
	f.boards[instance] = f.newBoard()
	f.dead[instance] = false
}

// run lets the time pass.
func (f *testFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tick) {
		f.finish()
		f.tell()
		for n, b := range f.boards {
			if !f.dead[n] {
				f.step(n, b)
			}
		}
		f.send()
	}
}

// step does what the duty of an instance does.
func (f *testFleet) step(n int, b *Board) {
	entries := map[string]Entry{}
	if f.hasSpec {
		entries[testService] = f.entry
	}
	b.SetServers(map[string][]Server{testService: f.servers})
	if !f.isStoreDown {
		b.SetEntries(f.now, entries)
	}
	b.Judge(f.now)
	if n != f.holder {
		return
	}
	for _, w := range b.Drive(f.now, Holder{Fence: f.fence, Instances: len(f.boards)}) {
		if !f.isStoreDown && b.IsDue(w) && !f.entry.Decision().IsFinal() && w.Entry.Order() == f.entry.Order() {
			f.entry.StoredState, f.entry.StoredTo = w.State, w.Entry.To
			f.entry.Revision++
			b.Stored(f.now, w, f.fence, f.entry.Revision)
			if w.State.IsFinal() {
				f.decide()
			}
		}
	}
}

// decide stops the old servers at once when the roll-out is completed.
func (f *testFleet) decide() {
	f.decidedAt = f.now
	if f.entry.StoredState != Completed {
		return
	}
	for _, r := range f.running {
		if r.server.Release != f.entry.To {
			f.toStopped++
		}
	}
}

// tell passes on what instances of the same side said f.gossipDelay ago.
func (f *testFleet) tell() {
	t := told{at: f.now, ended: Evidence{}}
	t.ended.Add(f.ended)
	for n, b := range f.boards {
		if f.dead[n] {
			t.news, t.gauges, t.evidence = append(t.news, nil), append(t.gauges, nil), append(t.evidence, Evidence{})
			continue
		}
		t.news, t.gauges, t.evidence = append(t.news, b.News(f.now)), append(t.gauges, b.Gauges(f.now)), append(t.evidence, b.Own())
	}
	f.told = append(f.told, t)
	for len(f.told) > 1 && f.now.Sub(f.told[1].at) >= f.gossipDelay {
		f.told = f.told[1:]
	}
	if f.now.Sub(f.told[0].at) < f.gossipDelay {
		return
	}
	for side := range 2 {
		f.tellSide(side, f.told[0])
	}
}

func (f *testFleet) tellSide(side int, t told) {
	sum, gauges, reached := Evidence{}, map[uint64]Gauge{}, 0
	news := map[uint64]News{}
	sum.Add(t.ended)
	for n := range t.evidence {
		if f.side(n) != side || f.dead[n] {
			continue
		}
		reached++
		sum.Add(t.evidence[n])
		for order, g := range t.gauges[n] {
			gauges[order] = gauges[order].Plus(g)
		}
		for _, one := range t.news[n] {
			news[one.Order] = latest(news[one.Order], one)
		}
	}
	for n, b := range f.boards[:len(t.evidence)] {
		if f.side(n) != side || f.dead[n] {
			continue
		}
		others, otherGauges := Evidence{}, map[uint64]Gauge{}
		others.Add(sum)
		others.Subtract(t.evidence[n])
		for order, g := range gauges {
			otherGauges[order] = Gauge{Acknowledged: g.Acknowledged - t.gauges[n][order].Acknowledged, RunningOld: g.RunningOld - t.gauges[n][order].RunningOld}
		}
		b.SetOthers("relay", others, otherGauges, reached-1)
		age := f.now.Sub(t.at)
		for _, one := range news {
			one.HolderAge += age
			one.StageAge += age
			if one.OrderAge > 0 {
				one.OrderAge += age
			}
			b.Merge(f.now, []News{one})
		}
	}
}

// latest joins what two instances tell of one order.
func latest(a, b News) News {
	if b.Stage < a.Stage {
		a, b = b, a
	}
	b.OrderAge = max(a.OrderAge, b.OrderAge)
	if a.HasHolder && (!b.HasHolder || a.HolderAge < b.HolderAge) && a.Stage == b.Stage {
		b.HasHolder, b.HolderAge = true, a.HolderAge
	}
	return b
}

// send sends the requests of a tick.
func (f *testFleet) send() {
	expected := f.perSecond * tick.Seconds()
	n := int(expected)
	if f.random.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		instance := f.random.IntN(len(f.boards))
		if !f.dead[instance] {
			f.sendOne(f.boards[instance], []string{"long", "short"}[f.random.IntN(2)])
		}
	}
}

func (f *testFleet) sendOne(b *Board, route string) {
	f.requests++
	a := b.Assign(f.now, testService, true)
	server, ok := f.choose(a)
	if !ok && a.IsNew {
		b.End(a)
		a = b.Assign(f.now, testService, false)
		server, ok = f.choose(a)
	}
	if !ok {
		b.End(a)
		f.refused++
		return
	}
	isFailed, took := f.answer(f, server, route)
	took = time.Duration(float64(took) * (0.6 + 0.8*f.random.Float64()))
	if server.Release == f.entry.To {
		f.toNew++
		if f.bad >= slack && f.now.Sub(f.lastBadAt) > rollback {
			f.late++
		}
	} else if f.entry.Decision() == Completed {
		f.toStopped++
	}
	b.Sent(f.now, &a, server, route)
	f.load[server.ID]++
	f.running = append(f.running, running{f.now.Add(took), b, a, server, route, isFailed, took})
}

func (f *testFleet) choose(a Assignment) (Server, bool) {
	var allowed []Server
	for _, s := range f.servers {
		if a.Filter.Allows(s.ID, s.Release) {
			allowed = append(allowed, s)
		}
	}
	if len(allowed) == 0 {
		return Server{}, false
	}
	return allowed[f.random.IntN(len(allowed))], true
}

// finish ends the requests whose answer is due.
func (f *testFleet) finish() {
	left := f.running[:0]
	for _, r := range f.running {
		if r.until.After(f.now) {
			left = append(left, r)
			continue
		}
		f.load[r.server.ID]--
		r.instance.Record(r.assignment, r.server, r.route, Outcome{IsFailed: r.isFailed, Whole: r.took})
		r.instance.End(r.assignment)
		if r.server.Release == f.entry.To && f.isBadAnswer(r) {
			f.bad++
			if f.bad <= slack {
				f.lastBadAt = f.now
			}
		}
	}
	f.running = left
}

func (f *testFleet) isBadAnswer(r running) bool { return r.isFailed || r.took > 3*usualTime }

const usualTime = 60 * time.Millisecond

// good answers each request alike, and fails one of 200.
func good(f *testFleet, _ Server, _ string) (bool, time.Duration) {
	return f.random.Float64() < 0.005, usualTime
}

// checkBad checks that the bad release was rolled back in time and got no more than it may.
func (f *testFleet) checkBad(t *testing.T) {
	t.Helper()
	f.checkExposure(t)
	if f.entry.Decision() != RolledBack {
		t.Errorf("the state is %q, want %q", f.entry.Decision(), RolledBack)
	}
	if f.late > 0 {
		t.Errorf("%d requests were sent to the new release later than %s after its 50th bad answer", f.late, rollback)
	}
}

func (f *testFleet) checkExposure(t *testing.T) {
	t.Helper()
	if allowed := exposure*float64(f.requests) + slack; float64(f.toNew) > allowed {
		t.Errorf("%d of %d requests went to the new release, %.0f are allowed", f.toNew, f.requests, allowed)
	}
}

// checkGood checks that the good release was completed within its duration, with nothing sent to servers that have stopped.
func (f *testFleet) checkGood(t *testing.T) {
	t.Helper()
	if f.entry.Decision() != Completed || f.decidedAt.Sub(f.ordered) > f.entry.Duration {
		t.Errorf("the state is %q after %s, want %q within %s; %+v", f.entry.Decision(), f.decidedAt.Sub(f.ordered), Completed, f.entry.Duration, f.boards[0].Statuses(f.now))
	}
	f.checkStopped(t)
}

func (f *testFleet) checkStopped(t *testing.T) {
	t.Helper()
	if f.toStopped > 0 || f.refused > 0 {
		t.Errorf("%d requests were at servers that have stopped, %d were refused", f.toStopped, f.refused)
	}
}
