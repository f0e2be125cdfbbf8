package lrlimit

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// demandTime is the time over which the demand of an account is averaged.
const demandTime = 2 * time.Second

// An Account is what one daemon holds of one client account, from the homes of all zones. It must be guarded by its
// owner.
type Account struct {
	daemon string
	zone   string
	// sources are ordered by zone, the daemon's own zone first.
	sources []source
	made    uint64
	demand  float64
	updated time.Time
	active  int
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
	a.demand = a.Demand(now) + tokens/demandTime.Seconds()
	a.updated = now
}

// Demand returns the tokens a second that were asked for of late.
func (a *Account) Demand(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.updated).Seconds()/demandTime.Seconds())
}

// IsIdle reports whether nothing is held, waiting to be given back or in use.
func (a *Account) IsIdle(now time.Time) bool {
	if a.active > 0 || a.Held(now) > 0 {
		return false
	}
	return !slices.ContainsFunc(a.sources, func(s source) bool { return s.holding.HasCredits() })
}

// Due returns the zones whose homes should hear from the daemon before the time, since grants end then or credits wait.
func (a *Account) Due(now, before time.Time) []string {
	var zones []string
	for _, s := range a.sources {
		expiring := s.holding.Tokens(now) > 0 && s.holding.Expires().Before(before)
		if expiring || s.holding.HasCredits() {
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
