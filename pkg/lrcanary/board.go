package lrcanary

import (
	"maps"
	"sync"
	"time"
)

// Options configure a Board.
type Options struct {
	// ExposureShare is the share of the requests of a service that a bad release may get. Zero means DefaultExposureShare.
	ExposureShare float64
	// StartedAt is when the instance started.
	StartedAt time.Time
	// Random returns a random number from 0 up to, but not including, 1.
	Random func() float64
	// OnChange is called with each change of the stage of a roll-out. It must not call the Board.
	OnChange func(change Change)
}

// A Change is a change of the stage of a roll-out, with what it was decided on.
type Change struct {
	Entry   Entry
	Stage   Stage
	Age     time.Duration
	Verdict string
	// New and Old are the answers of both releases that were known.
	New Counts
	Old Counts
}

// A Board holds what an instance knows of all roll-outs. It is safe for use by several goroutines.
type Board struct {
	options  Options
	mutex    sync.Mutex
	services map[string]*service
	// own is the evidence of this instance and others that of all others, which grows with what source reports: last was its latest report.
	own    Evidence
	others Evidence
	source string
	last   Evidence
	// gauges are the sums over all other instances, and reached their number.
	gauges  map[uint64]Gauge
	reached int
	// missing is the number of listed instances out of reach, and missingSince since when there are no more of them.
	missing      int
	missingSince time.Time
	// restores counts how often the store came back from an older copy, the last time at restoredAt.
	restores   int
	restoredAt time.Time
}

// service is a service with requests or with a roll-out.
type service struct {
	rollout *rollout
	// lost is the roll-out that was known when the store came back from an older copy.
	lost    *rollout
	servers []Server
	// running is the number of attempts in flight, and runningNew of those that were assigned to the new release of the present order.
	running    int
	runningNew int
	// flights are the attempts that were sent under the present order and have not ended.
	flights map[*flight]bool
}

// flight is an attempt that was sent to a server.
type flight struct {
	sentAt time.Time
	server Server
	route  string
	// isSlow is set once the attempt is counted as slow, before its answer is complete.
	isSlow bool
}

// NewBoard returns a Board without roll-outs.
func NewBoard(options Options) *Board {
	if options.ExposureShare <= 0 || options.ExposureShare > 1 {
		options.ExposureShare = DefaultExposureShare
	}
	if options.OnChange == nil {
		options.OnChange = func(Change) {}
	}
	return &Board{options: options, services: map[string]*service{}, own: Evidence{}, others: Evidence{}, gauges: map[uint64]Gauge{}}
}

func (b *Board) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// SetEntries replaces the orders. An order that is gone before it was completed leaves its release excluded until its servers are gone.
func (b *Board) SetEntries(now time.Time, entries map[string]Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expireLost(now)
	for _, e := range entries {
		s := b.service(e.Name)
		switch {
		case s.isLost(e):
			s.resume()
		case s.rollout == nil || s.rollout.order != e.Order() || s.rollout.isRepeated(e):
			s.begin(now, e, b.options)
			b.forgetOrder(e.Order())
		}
		b.update(now, s.rollout, e)
		s.rollout.setServers(s.servers)
	}
	for name, s := range b.services {
		if _, ok := entries[name]; !ok && s.rollout != nil && !s.rollout.isWithdrawn {
			s.rollout.isWithdrawn = true
			s.withdraw()
		}
	}
	b.forget()
}

// isRepeated reports whether the entry is a new order with the values of this one: the entry was gone and has no status now, or it was decided,
// and no decision is stored now. After a restore of the store it is the same order, whose decision was lost.
func (r *rollout) isRepeated(e Entry) bool {
	isNew := r.isWithdrawn && e.Decision() == Undecided || r.entry.Decision().IsFinal() && !e.Decision().IsFinal()
	return isNew && !r.isRestored && e.Revision > r.entry.Revision
}

// begin replaces the roll-out of the service with that of the order.
func (s *service) begin(now time.Time, e Entry, options Options) {
	r := &rollout{
		entry: e, order: e.Order(), schedule: newSchedule(e.Duration, options.ExposureShare), orderedAt: now, stageAt: now,
		credit: options.Random(), banned: map[string]bool{},
	}
	if s.rollout != nil {
		maps.Copy(r.banned, s.rollout.banned)
		if s.rollout.stage != Moved {
			r.banned[s.rollout.entry.To] = true
		}
	}
	delete(r.banned, e.To)
	if e.Decision() == Running && now.Sub(options.StartedAt) < startTime {
		r.isGuessed = true
		r.orderedAt = now.Add(-e.Duration / 2)
	}
	s.rollout, s.runningNew, s.flights = r, 0, map[*flight]bool{}
}

// update applies the status of the entry.
func (b *Board) update(now time.Time, r *rollout, e Entry) {
	if e.Revision < r.entry.Revision {
		return
	}
	r.entry, r.isWithdrawn = e, false
	r.confirmRestored()
	switch e.Decision() {
	case Completed:
		b.enter(now, r, Moved, "")
	case RolledBack:
		b.enter(now, r, Rejected, "stored")
		r.stage = Rejected
	}
}

// enter changes the stage and announces it.
func (b *Board) enter(now time.Time, r *rollout, stage Stage, verdict string) {
	if !r.enter(now, stage) {
		return
	}
	if verdict != "" {
		r.verdict = verdict
	}
	total := b.total()
	b.options.OnChange(Change{
		Entry: r.entry, Stage: stage, Age: now.Sub(r.orderedAt), Verdict: r.verdict, New: total.total(r.order, true), Old: total.total(r.order, false),
	})
}

// SetServers replaces the listed servers of each service.
func (b *Board) SetServers(servers map[string][]Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for name := range servers {
		_ = b.service(name)
	}
	for name, s := range b.services {
		s.servers = servers[name]
		if s.rollout == nil {
			continue
		}
		s.rollout.setServers(s.servers)
		if s.rollout.isWithdrawn {
			s.withdraw()
		}
	}
}

// withdraw forgets the withdrawn roll-out once nothing has to be kept away from its servers.
func (s *service) withdraw() {
	r := s.rollout
	r.setServers(s.servers)
	if r.isRestored {
		return
	}
	hasBanned := false
	for _, server := range s.servers {
		hasBanned = hasBanned || server.Release == r.entry.To || r.banned[server.Release]
	}
	if r.stage == Moved || !hasBanned || !r.hadOld {
		s.rollout, s.runningNew = nil, 0
	}
}

// forget drops the evidence on orders that are no more.
func (b *Board) forget() {
	orders := map[uint64]bool{}
	for _, s := range b.services {
		if s.rollout != nil {
			orders[s.rollout.order] = true
		}
		if s.lost != nil {
			orders[s.lost.order] = true
		}
	}
	b.own.Keep(orders)
	b.others.Keep(orders)
}

// forgetOrder drops the evidence on an earlier order with the same values.
func (b *Board) forgetOrder(order uint64) {
	isSame := func(key Key, _ Counts) bool { return key.Order == order }
	maps.DeleteFunc(b.own, isSame)
	maps.DeleteFunc(b.others, isSame)
}

// An Assignment says to which servers an attempt may be sent. It must be ended with End.
type Assignment struct {
	// Filter says which servers the attempt may be sent to.
	Filter *Filter
	// IsNew is set when the attempt is for the new release.
	IsNew   bool
	service *service
	order   uint64
	flight  *flight
}

// Assign decides for which release of the service the attempt is. An attempt that is not the first of its request goes to the old release
// until all traffic has moved.
func (b *Board) Assign(now time.Time, name string, isFirst bool) Assignment {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.service(name)
	s.running++
	a := Assignment{service: s}
	r := s.rollout
	if r == nil {
		return a
	}
	a.order, a.IsNew, a.Filter = r.order, r.takeNew(now, isFirst), r.toOld
	if a.IsNew {
		a.Filter = r.toNew
		s.runningNew++
	}
	return a
}

// Sent records that the attempt is sent to the server. One that takes too long counts as slow before it ends: otherwise a slow release looks
// good at first, since its fast answers come first.
func (b *Board) Sent(now time.Time, a *Assignment, server Server, route string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := a.service
	if s == nil || s.rollout == nil || s.rollout.order != a.order {
		return
	}
	a.flight = &flight{sentAt: now, server: server, route: route}
	s.flights[a.flight] = true
}

// noteOverdue counts the attempts that take too long as slow. It must be called with the mutex held.
func (b *Board) noteOverdue(now time.Time, s *service) {
	r := s.rollout
	for f := range s.flights {
		usual := r.usual[f.route]
		if !f.isSlow && !r.banned[f.server.Release] && isSlow(now.Sub(f.sentAt), usual.LogWhole, usual.Wholes) {
			f.isSlow = true
			key := r.keyOf(f.server, f.route)
			b.own[key] = b.own[key].Plus(Counts{Answers: 1, Slow: 1})
		}
	}
}

func (r *rollout) keyOf(server Server, route string) Key {
	return Key{Order: r.order, Route: route, IsNew: server.Release == r.entry.To, Group: GroupOf(server.ID)}
}

// End records that the attempt has ended or was not made.
func (b *Board) End(a Assignment) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := a.service
	if s == nil {
		return
	}
	s.running--
	delete(s.flights, a.flight)
	if a.IsNew && s.rollout != nil && s.rollout.order == a.order && s.runningNew > 0 {
		s.runningNew--
	}
}

// Record counts the outcome of an attempt.
func (b *Board) Record(a Assignment, server Server, route string, outcome Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.service == nil || a.service.rollout == nil {
		return
	}
	r := a.service.rollout
	isNew := server.Release == r.entry.To
	if r.order != a.order || !r.isJudged() || r.banned[server.Release] || isNew != a.IsNew {
		return
	}
	key, counts := r.keyOf(server, route), outcome.counts(r.usual[route])
	if a.flight != nil && a.flight.isSlow {
		counts.Answers, counts.Slow = 0, 0
	}
	b.own[key] = b.own[key].Plus(counts)
}

// total returns the evidence of all instances. It must be called with the mutex held.
func (b *Board) total() Evidence {
	total := maps.Clone(b.own)
	total.Add(b.others)
	return total
}

// Judge looks at the evidence on each release and rejects those that are bad.
func (b *Board) Judge(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, s := range b.services {
		r := s.rollout
		if r == nil || !r.isJudged() || now.Sub(r.judgedAt) < judgeInterval {
			continue
		}
		r.judgedAt = now
		b.noteOverdue(now, s)
		total := b.total()
		r.updateUsual(total)
		v, isBad := r.exam().judge(total, r.recent(now, total))
		if isBad {
			b.enter(now, r, Rejected, v.String())
			r.setServers(s.servers)
		}
	}
}
