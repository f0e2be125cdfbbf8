package lrcanary

import (
	"maps"
	"time"
)

// News is what an instance tells the others of a roll-out.
type News struct {
	Order uint64
	Stage Stage
	// OrderAge is the time since the order became known. Zero means unknown.
	OrderAge time.Duration
	StageAge time.Duration
	// HolderAge is the time since a holder confirmed the stage, if HasHolder is set.
	HolderAge time.Duration
	HasHolder bool
	Verdict   string
}

// A Gauge is a sum over instances: how many of them send all requests to the new release, and the attempts in flight that may be at old
// servers.
type Gauge struct{ Acknowledged, RunningOld int }

// Plus returns the sum of both.
func (g Gauge) Plus(o Gauge) Gauge {
	return Gauge{Acknowledged: g.Acknowledged + o.Acknowledged, RunningOld: g.RunningOld + o.RunningOld}
}

// maxNewsAge bounds the ages that are told.
const maxNewsAge = 24 * time.Hour

// HasEntries reports whether there is any roll-out, decided or not.
func (b *Board) HasEntries() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, s := range b.services {
		if s.rollout != nil {
			return true
		}
	}
	return false
}

// isOpen reports whether the service has a roll-out whose decision is not stored.
func (s *service) isOpen() bool {
	return s.rollout != nil && !s.rollout.isWithdrawn && !s.rollout.entry.Decision().IsFinal()
}

// News returns what to tell the other instances.
func (b *Board) News(now time.Time) []News {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var news []News
	for _, s := range b.services {
		if !s.isOpen() {
			continue
		}
		r := s.rollout
		n := News{
			Order: r.order, Stage: r.stage, StageAge: min(max(now.Sub(r.stageAt), 0), maxNewsAge), Verdict: r.verdict,
			HasHolder: now.Sub(r.holderAt) <= maxHolderAge, HolderAge: min(max(now.Sub(r.holderAt), 0), maxNewsAge),
		}
		if !r.isGuessed {
			n.OrderAge = min(max(now.Sub(r.orderedAt), time.Millisecond), maxNewsAge)
		}
		news = append(news, n)
	}
	return news
}

// Merge applies what another instance tells. News of orders that this instance does not know yet are repeated later.
func (b *Board) Merge(now time.Time, news []News) {
	if len(news) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, n := range news {
		for _, s := range b.services {
			if s.isOpen() && s.rollout.order == n.Order {
				b.merge(now, s, n)
			}
		}
	}
}

func (b *Board) merge(now time.Time, s *service, n News) {
	r := s.rollout
	at := now.Add(-n.OrderAge)
	if n.OrderAge > 0 && (r.isGuessed || at.Before(r.orderedAt)) {
		r.orderedAt, r.isGuessed = at, false
	}
	if holderAt := now.Add(-n.HolderAge); n.HasHolder && holderAt.After(r.holderAt) && n.Stage >= r.stage {
		r.holderAt = holderAt
	}
	if n.Stage <= Moved && n.Stage > r.stage {
		b.enter(now.Add(-n.StageAge), r, n.Stage, n.Verdict)
		r.setServers(s.servers)
	}
}

// Gauges returns the gauge of this instance for each order.
func (b *Board) Gauges(now time.Time) map[uint64]Gauge {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	gauges := map[uint64]Gauge{}
	for _, s := range b.services {
		if s.isOpen() {
			gauges[s.rollout.order] = s.gauge(now)
		}
	}
	return gauges
}

func (s *service) gauge(now time.Time) Gauge {
	g := Gauge{RunningOld: max(s.running-s.runningNew, 0)}
	if s.rollout.share(now) >= 1 {
		g.Acknowledged = 1
	}
	return g
}

// Own returns the evidence of this instance.
func (b *Board) Own() Evidence {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return maps.Clone(b.own)
}

// Orders returns the orders of which there is evidence.
func (b *Board) Orders() map[uint64]bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	orders := map[uint64]bool{}
	for _, s := range b.services {
		if s.isOpen() {
			orders[s.rollout.order] = true
		}
	}
	return orders
}

// SetOthers applies the sums over all other instances, as the source reports them: a growth of its evidence is added, while a change of the
// source, whose evidence includes what another one has reported, is not. The first source tells what was before the start of this instance.
func (b *Board) SetOthers(source string, evidence Evidence, gauges map[uint64]Gauge, reached int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.gauges, b.reached = gauges, reached
	if source != b.source && b.source != "" {
		b.source, b.last = source, maps.Clone(evidence)
		return
	}
	b.others.addGrowth(b.last, evidence)
	b.source, b.last = source, maps.Clone(evidence)
	b.forget()
}
