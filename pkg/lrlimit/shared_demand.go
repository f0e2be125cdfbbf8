package lrlimit

import (
	"cmp"
	"slices"
	"time"
)

// maxDemands is the number of accounts whose demand an instance reports. More than that many accounts close to their limits share one
// report only in a deployment with very many large accounts.
const maxDemands = 48

// Demand returns the demand for each account at this instance within the last demandPeriod. It
// leaves out all but the maxDemands accounts that ask for the most of their rate, so that reports do not grow with the number of accounts.
func (s *SharedLimiter) Demand(now time.Time) map[string]Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	demand := map[string]Demand{}
	parts := map[string]float64{}
	for name, a := range s.inUse {
		if a.part.isIdle(now) {
			a.part.recent = nil
			delete(s.inUse, name)
			continue
		}
		d := a.part.recent.rate(now, demandPeriod, 0)
		if d.Rate > 0 {
			demand[name], parts[name] = d, d.Rate/a.rate
		}
	}
	KeepLargest(demand, func(name string, _ Demand) float64 { return parts[name] })
	return demand
}

// KeepLargest removes all but the maxDemands accounts with the largest values.
func KeepLargest(demand map[string]Demand, value func(name string, d Demand) float64) {
	if len(demand) <= maxDemands {
		return
	}
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(value(b, demand[b]), value(a, demand[a])), cmp.Compare(a, b))
	})
	for _, name := range names[maxDemands:] {
		delete(demand, name)
	}
}

// ApplyDemand applies the demand at all other instances within reach. Instances is the number of instances within reach, this one
// included, and delay how long a report takes to reach all of them at most.
func (s *SharedLimiter) ApplyDemand(now time.Time, instances int, delay time.Duration, demand map[string]Demand) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fleet = fleetView{instances: instances, delay: delay}
	if s.ownShareOnly {
		s.fleet.instances = 1
	}
	before := s.withDemand
	s.withDemand = nil
	for name, d := range demand {
		a, ok := s.accounts[name]
		if !ok {
			a = &sharedAccount{isUnseen: true}
			s.accounts[name] = a
		}
		a.part.hear(now, d)
		s.withDemand = append(s.withDemand, name)
	}
	for _, name := range before {
		if _, ok := demand[name]; !ok {
			s.hearNothing(now, name)
		}
	}
}

// hearNothing records that no other instance has demand for the account any more. It must be called with the mutex held.
func (s *SharedLimiter) hearNothing(now time.Time, name string) {
	a := s.accounts[name]
	a.part.hear(now, Demand{})
	switch {
	case a.part.others.Rate >= minDemand:
		s.withDemand = append(s.withDemand, name)
	case a.isUnseen:
		delete(s.accounts, name)
	default:
		a.part.others = Demand{}
	}
}
