package lrlimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// demandTime is the time over which the demand of an account is averaged.
	demandTime = 2 * time.Second
	// busyRate is the number of requests a second from which on tokens are held for requests to come.
	busyRate = 4
	// batchTime is how much of an account's demand one exchange asks for.
	batchTime = 500 * time.Millisecond
	// untoldShare is the part of the burst that may be used before the home is told.
	untoldShare = 0.02
	// ownZonePreference is how many times fuller another zone's pool must be to be asked before the own zone's.
	ownZonePreference = 1.5
	// prefetchTime is the demand that is held before more is fetched ahead of requests.
	prefetchTime = 200 * time.Millisecond
)

// An Account is what one daemon holds of one client account, from the homes of all zones. It must be guarded by its
// owner.
type Account struct {
	daemon string
	zone   string
	// sources are ordered by zone, the daemon's own zone first.
	sources []source
	made    uint64
	// demand and requests are averages a second.
	demand   float64
	requests float64
	updated  time.Time
	active   int
}

type source struct {
	zone    string
	home    Member
	holding *Holding
}

// NewAccount returns an empty Account of the daemon in the zone. The daemon's name must hold its incarnation.
func NewAccount(daemon, zone string, now time.Time) *Account {
	return &Account{daemon: daemon, zone: zone, made: uint64(now.UnixNano()), updated: now}
}

// Holding returns what is held from the home of the zone. What came from another home of the zone is given up, since
// the pool behind it has ended.
func (a *Account) Holding(zone string, home Member) *Holding {
	n := slices.IndexFunc(a.sources, func(s source) bool { return s.zone == zone })
	if n >= 0 && a.sources[n].home == home {
		return a.sources[n].holding
	}
	a.made++
	fresh := source{zone: zone, home: home, holding: NewHolding(a.daemon + "/" + strconv.FormatUint(a.made, 36))}
	if n >= 0 {
		a.sources[n] = fresh
		return fresh.holding
	}
	a.sources = append(a.sources, fresh)
	slices.SortFunc(a.sources, a.compare)
	return fresh.holding
}

// Held returns the tokens that can be used now.
func (a *Account) Held(now time.Time) float64 {
	var tokens float64
	for _, s := range a.sources {
		tokens += s.holding.Tokens(now)
	}
	return tokens
}

// Covers reports whether the tokens held here and those that other daemons hold, as the homes last told, would do for a
// request. A refusal in that case may be wrong: one central bucket could have admitted the request.
func (a *Account) Covers(now time.Time, tokens float64) bool {
	known := a.Held(now)
	for _, s := range a.sources {
		known += s.holding.elsewhere
	}
	return known >= tokens
}

// Take uses the tokens for a request, all of them or none.
func (a *Account) Take(now time.Time, tokens float64) ([]*Part, bool) {
	if a.Held(now) < tokens {
		return nil, false
	}
	var parts []*Part
	for _, s := range a.sources {
		p := s.holding.Take(now, tokens)
		if p == nil {
			continue
		}
		parts = append(parts, p)
		tokens -= p.Tokens()
	}
	a.active++
	return parts, true
}

// Return ends a request and gives back the tokens that it did not use.
func (a *Account) Return(now time.Time, parts []*Part, unused float64) {
	a.active--
	for _, p := range slices.Backward(parts) {
		tokens := min(unused, p.Tokens())
		p.Return(now, tokens)
		unused -= tokens
	}
}

// Ask notes the demand of a request.
func (a *Account) Ask(now time.Time, tokens float64) {
	decay := a.decay(now)
	a.demand = a.demand*decay + tokens/demandTime.Seconds()
	a.requests = a.requests*decay + 1/demandTime.Seconds()
	a.updated = now
}

// Demand returns the tokens a second that were asked for of late, or zero when requests are too rare to hold tokens
// for the next one.
func (a *Account) Demand(now time.Time) float64 {
	decay := a.decay(now)
	if a.requests*decay < busyRate {
		return 0
	}
	return a.demand * decay
}

func (a *Account) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(a.updated).Seconds() / demandTime.Seconds())
}

// IsIdle reports whether nothing is held, waiting to be given back or in use.
func (a *Account) IsIdle(now time.Time) bool {
	if a.active > 0 || a.Held(now) > 0 {
		return false
	}
	return !slices.ContainsFunc(a.sources, func(s source) bool { return s.holding.HasCredits() })
}

// Order returns the zones in the order in which to ask their homes: fuller pools first, so that no pool overflows while
// another is empty, and the own zone's before others that are little fuller. Homes that did not answer a moment ago are
// left out. Every pool has the given limits.
func (a *Account) Order(now time.Time, zones []string, limits Limits) []string {
	levels := make(map[string]float64, len(zones))
	for _, z := range zones {
		levels[z] = limits.Burst
	}
	for _, s := range a.sources {
		levels[s.zone] = s.holding.PoolLevel(now, limits)
		if s.holding.IsSilent(now) {
			delete(levels, s.zone)
		}
	}
	level, answers := levels[a.zone]
	if answers {
		levels[a.zone] = level * ownZonePreference
	}
	ordered := slices.DeleteFunc(slices.Clone(zones), func(z string) bool {
		_, ok := levels[z]
		return !ok
	})
	slices.SortStableFunc(ordered, func(x, y string) int { return cmp.Compare(levels[y], levels[x]) })
	return ordered
}

// A Draw is what to ask the home of one zone for.
type Draw struct {
	Zone string
	// Most bounds the tokens that are asked for.
	Most float64
}

// Draws returns which homes to ask for tokens that a request lacks, in order. The pools are left equally full, since a full
// one loses what comes in while another is filled up. After that each home is asked for whatever is still lacking.
func (a *Account) Draws(now time.Time, zones []string, limits Limits, lacking float64) []Draw {
	ordered := a.Order(now, zones, limits)
	draws := a.evenDraws(now, ordered, limits, lacking)
	for _, z := range ordered {
		draws = append(draws, Draw{Zone: z, Most: math.Inf(1)})
	}
	return draws
}

// evenDraws leaves out homes that did not answer when they were last asked: a request would wait for them in vain.
func (a *Account) evenDraws(now time.Time, zones []string, limits Limits, lacking float64) []Draw {
	draws := make([]Draw, 0, len(zones))
	levels := make([]float64, 0, len(zones))
	for _, z := range zones {
		s, ok := a.source(z)
		if ok && s.holding.HasFailed() {
			continue
		}
		level := limits.Burst
		if ok {
			level = s.holding.PoolLevel(now, limits)
		}
		draws = append(draws, Draw{Zone: z, Most: level})
		levels = append(levels, level)
	}
	left := levelAfter(levels, lacking)
	for n := range draws {
		draws[n].Most -= left
	}
	return slices.DeleteFunc(draws, func(d Draw) bool { return d.Most <= 0 })
}

// levelAfter returns how full each pool is left when the tokens are taken from the fullest ones.
func levelAfter(levels []float64, tokens float64) float64 {
	sorted := slices.Sorted(slices.Values(levels))
	slices.Reverse(sorted)
	var sum float64
	for n, level := range sorted {
		sum += level
		left := (sum - tokens) / float64(n+1)
		if n+1 == len(sorted) || left >= sorted[n+1] {
			return max(left, 0)
		}
	}
	return 0
}

func (a *Account) source(zone string) (source, bool) {
	n := slices.IndexFunc(a.sources, func(s source) bool { return s.zone == zone })
	if n < 0 {
		return source{}, false
	}
	return a.sources[n], true
}

// Want returns how many tokens to ask a home for when a request lacks some: what will be used within the batch time,
// and no more than the request lacks when the account is not busy here.
func (a *Account) Want(now time.Time, need float64) float64 {
	return max(need, a.Demand(now)*batchTime.Seconds()-a.Held(now))
}

// IsShort reports whether what is held will be used up before long.
func (a *Account) IsShort(now time.Time) bool {
	return a.Held(now) < a.Demand(now)*prefetchTime.Seconds()
}

// HasSurplus reports whether more is held than will be used within the batch time.
func (a *Account) HasSurplus(now time.Time) bool {
	return a.Held(now) > a.Demand(now)*batchTime.Seconds()
}

// Due returns the zones whose homes should hear from the daemon: grants end before the given time or are not needed,
// credits wait, or so much of the burst was used that the home's pool could seem full.
func (a *Account) Due(now, before time.Time, burst float64) []string {
	surplus := a.HasSurplus(now)
	var zones []string
	for _, s := range a.sources {
		held := s.holding.Tokens(now) > 0
		unneeded := held && (surplus || s.holding.Expires().Before(before))
		if unneeded || s.holding.HasCredits() || s.holding.Untold() > untoldShare*burst {
			zones = append(zones, s.zone)
		}
	}
	return zones
}

func (a *Account) compare(x, y source) int {
	switch {
	case x.zone == a.zone:
		return -1
	case y.zone == a.zone:
		return 1
	default:
		return strings.Compare(x.zone, y.zone)
	}
}
