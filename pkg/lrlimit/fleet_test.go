package lrlimit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	testLease    = 15 * time.Second
	testValidity = time.Second
	tickPeriod   = time.Second
	callTimeout  = 300 * time.Millisecond
	platformID   = -1
)

// fleet drives the limiter decisions of many instances with injected time, over a simulated network that loses, delays and
// duplicates messages.
type fleet struct {
	random          *rand.Rand
	now             time.Time
	events          eventQueue
	eventCount      int
	zones           []string
	instances       []*instance
	views           map[string]lrlimit.View
	platformDown    bool
	gone            map[string]bool
	partitioned     map[[2]int]bool
	lossProbability float64
	slowProbability float64
	references      map[string]*referenceBucket
	calls           int
	admitted        int
	refused         int
	faults          []error
	naive           admission
	// store holds the counters of the naive limiter with a central store.
	store *instance
}

// admission is a naive limiter that decides without any message.
type admission func(p *instance, account string, limits lrlimit.Limits, tokens float64) bool

type instance struct {
	fleet       *fleet
	id          int
	zone        string
	self        lrlimit.Member
	up          bool
	pausedUntil time.Time
	// pauseAfterClockRead is how long the instance pauses after it has next read the clock.
	pauseAfterClockRead time.Duration
	homes               *lrlimit.Homes
	others              map[string]lrlimit.View
	accounts            map[string]*lrlimit.Account
	buckets             map[string]lrlimit.Bucket
	// waiting holds, by account, the requests that wait for tokens. The first one asks the homes for them.
	waiting map[string][]testRequest
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// referenceBucket is a central bucket outside the limiter that is charged what admitted requests have really used.
type referenceBucket struct {
	bucket lrlimit.Bucket
	lowest float64
}

func newFleet(seed uint64, zones, perZone int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), views: map[string]lrlimit.View{},
		gone: map[string]bool{}, partitioned: map[[2]int]bool{}, references: map[string]*referenceBucket{},
	}
	f.store = &instance{fleet: f, buckets: map[string]lrlimit.Bucket{}}
	for z := range zones {
		f.zones = append(f.zones, string(rune('a'+z)))
	}
	for n := range zones * perZone {
		p := &instance{fleet: f, id: n, zone: f.zones[n%zones]}
		f.instances = append(f.instances, p)
		p.start()
	}
	return f
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.eventCount++
	heap.Push(&f.events, event{at: f.now.Add(delay), order: f.eventCount, run: run})
}

func (f *fleet) runFor(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) chance(p float64) bool { return f.random.Float64() < p }

func (f *fleet) delay() time.Duration {
	if f.chance(f.slowProbability) {
		return time.Duration(f.random.Int64N(int64(8 * time.Second)))
	}
	return 200*time.Microsecond + time.Duration(f.random.Int64N(int64(2*time.Millisecond)))
}

// reachable reports whether a message gets through in this direction.
func (f *fleet) reachable(from, to int) bool {
	return !f.partitioned[[2]int{from, to}] && !f.chance(f.lossProbability)
}

// send runs the function at the receiving instance, unless the message is lost or the incarnation has changed. A duplicated
// message runs it twice.
func (f *fleet) send(from int, to *instance, run func(now time.Time)) {
	copies := 1
	if f.chance(f.lossProbability) {
		copies = 2
	}
	for range copies {
		if f.reachable(from, to.id) {
			to.later(f.delay(), run)
		}
	}
}

// later runs the function at the instance after the delay, or when its pause has ended.
func (p *instance) later(delay time.Duration, run func(now time.Time)) {
	incarnation := p.self.Incarnation
	var attempt func()
	attempt = func() {
		f := p.fleet
		switch {
		case !p.up || p.self.Incarnation != incarnation:
		case f.now.Before(p.pausedUntil):
			f.after(p.pausedUntil.Sub(f.now), attempt)
		case p.pauseAfterClockRead > 0:
			p.pauseBeforeWork(f.now, run)
		default:
			run(f.now)
		}
	}
	p.fleet.after(delay, attempt)
}

// pauseBeforeWork pauses the instance between its read of the clock and the work.
func (p *instance) pauseBeforeWork(now time.Time, run func(now time.Time)) {
	pause := p.pauseAfterClockRead
	p.pauseAfterClockRead = 0
	p.pausedUntil = now.Add(pause)
	p.later(pause, func(time.Time) { run(now) })
}

func (p *instance) start() {
	f := p.fleet
	name := fmt.Sprintf("router-%02d", p.id)
	p.self = lrlimit.Member{Name: name, Incarnation: uint64(f.now.UnixNano()) + 1, Address: name}
	p.up, p.pausedUntil, p.pauseAfterClockRead = true, time.Time{}, 0
	p.homes = lrlimit.NewHomes(p.self, testLease, testValidity)
	p.homes.SetShare(1 / float64(len(f.zones)))
	p.others = map[string]lrlimit.View{}
	p.accounts = map[string]*lrlimit.Account{}
	p.buckets = map[string]lrlimit.Bucket{}
	p.waiting = map[string][]testRequest{}
	p.later(0, p.tick)
	p.later(0, p.report)
}

// tick reads the views, or asks the other members for theirs while the platform is unreachable, like the keeper of the views
// in the router.
func (p *instance) tick(now time.Time) {
	f := p.fleet
	p.later(tickPeriod, p.tick)
	if !f.platformDown && f.reachable(p.id, platformID) && f.reachable(platformID, p.id) {
		p.readViews(now)
		p.queryMembers(p.homes.PendingMembers())
		return
	}
	p.queryMembers(p.homes.View().Members)
}

func (p *instance) readViews(now time.Time) {
	f := p.fleet
	for _, z := range f.zones {
		p.others[z] = f.views[z]
	}
	stored := f.views[p.zone]
	stored.Zone = p.zone
	p.homes.Adopt(now, stored)
	if stored.Number == p.homes.View().Number {
		p.homes.ConfirmByPlatform(now)
	}
	var gone []lrlimit.Member
	for _, m := range stored.Members {
		if f.gone[m.Name] {
			gone = append(gone, m)
		}
	}
	next, changed := p.homes.NextView(now, stored, gone)
	if changed {
		f.views[p.zone] = next
		p.homes.Adopt(now, next)
	}
}

func (p *instance) queryMembers(members []lrlimit.Member) {
	f := p.fleet
	for _, m := range members {
		to := f.find(m)
		if to == nil || to == p {
			continue
		}
		sentAt := f.now
		f.send(p.id, to, func(time.Time) {
			view := to.homes.View()
			receiver := to.self
			f.send(to.id, p, func(now time.Time) {
				p.homes.Adopt(now, view)
				if receiver == m {
					p.homes.ConfirmByMember(now, sentAt, m, view.Number)
				}
			})
		})
	}
}

// find returns the instance with the member's name, whatever its incarnation.
func (f *fleet) find(m lrlimit.Member) *instance {
	for _, p := range f.instances {
		if p.self.Name == m.Name {
			return p
		}
	}
	return nil
}

func (p *instance) view(zone string) lrlimit.View {
	if zone == p.zone {
		return p.homes.View()
	}
	return p.others[zone]
}

func (p *instance) account(name string) *lrlimit.Account {
	a, ok := p.accounts[name]
	if !ok {
		a = lrlimit.NewAccount(p.self.ID(), p.zone, p.fleet.now)
		p.accounts[name] = a
	}
	return a
}

// report sends reports that release surplus tokens and renew those that are about to expire.
func (p *instance) report(now time.Time) {
	p.later(testValidity/4, p.report)
	for _, name := range accountNames() {
		a, ok := p.accounts[name]
		if !ok {
			continue
		}
		release := a.HasSurplus(now)
		for _, z := range a.ZonesToReport(now, now.Add(testValidity/2), testLimits(name).Burst) {
			home, _ := p.view(z).Home(name)
			if release {
				a.Holding(z, home).Release()
			}
			want := a.FetchAmount(now, 0)
			if release {
				want = 0
			}
			p.exchange(name, z, testLimits(name), 0, want, func() {})
		}
	}
}

// exchange sends a report to the home of the zone and calls done when the answer has arrived or the call has timed out.
func (p *instance) exchange(name, zone string, limits lrlimit.Limits, need, want float64, done func()) {
	f := p.fleet
	view := p.view(zone)
	member, _ := view.Home(name)
	holding := p.account(name).Holding(zone, member)
	sentAt := f.now
	report := holding.Report(f.now, need, want)
	finished := false
	sender := p.self
	finish := func() {
		if !finished && p.self == sender {
			finished = true
			done()
		}
	}
	p.later(callTimeout, func(now time.Time) {
		holding.RecordNoAnswer(now, report.Sequence)
		finish()
	})
	to := f.find(member)
	if to == nil {
		return
	}
	if to != p {
		f.calls++
	}
	f.send(p.id, to, func(now time.Time) {
		answer, ok, err := to.homes.Exchange(now, view.Number, name, limits, report)
		if err != nil {
			f.faults = append(f.faults, err)
		}
		if !ok || to.self != member {
			return
		}
		f.send(to.id, p, func(now time.Time) {
			holding.Accept(now, sentAt, report.Sequence, answer)
			finish()
		})
	})
}
