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
	// demandWindow is the time constant of the averages of demand.
	demandWindow = 2 * time.Second
	// busyRequestRate is the number of requests per second from which on tokens are held for future requests.
	busyRequestRate = 4
	// fetchWindow is how long the tokens that one exchange asks for should last at the account's present demand.
	fetchWindow = 500 * time.Millisecond
	// unreportedShare is the share of the burst that may be used before it is reported to the home.
	unreportedShare = 0.02
	// localPoolPreference is how many times fuller another zone's pool must be to be asked before the pool of the instance's
	// own zone.
	localPoolPreference = 1.5
	// prefetchWindow is how long the held tokens must last. Below that, more are fetched before a request needs them.
	prefetchWindow = 200 * time.Millisecond
)

// An Account is what one instance holds of one client account, from the homes of all zones. It is not safe for use by
// several goroutines.
type Account struct {
	instance string
	zone     string
	// sources are ordered by zone, the instance's own zone first.
	sources []source
	// lastHoldingNumber makes the names of holdings unique. It starts at the time of creation.
	lastHoldingNumber uint64
	// demand and requestRate are exponentially decaying averages, in tokens and requests per second.
	demand      float64
	requestRate float64
	updated     time.Time
	// activeRequests counts the requests that have taken tokens and have not ended.
	activeRequests int
}

// source is the home of the account in one zone, and what is held from it.
type source struct {
	zone    string
	home    Member
	holding *Holding
}

// NewAccount returns an empty Account of the instance in the zone. The name of the instance must include its incarnation.
func NewAccount(instance, zone string, now time.Time) *Account {
	return &Account{instance: instance, zone: zone, lastHoldingNumber: uint64(now.UnixNano()), updated: now}
}

// Holding returns what is held from the home of the zone. Tokens from another home of the zone are dropped, since the pool
// behind them no longer exists.
func (a *Account) Holding(zone string, home Member) *Holding {
	n := slices.IndexFunc(a.sources, func(s source) bool { return s.zone == zone })
	if n >= 0 && a.sources[n].home == home {
		return a.sources[n].holding
	}
	a.lastHoldingNumber++
	fresh := source{zone: zone, home: home, holding: NewHolding(a.instance + "/" + strconv.FormatUint(a.lastHoldingNumber, 36))}
	if n >= 0 {
		a.sources[n] = fresh
		return fresh.holding
	}
	a.sources = append(a.sources, fresh)
	slices.SortFunc(a.sources, a.compareSources)
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

// Covers reports whether the tokens held here and those that other instances hold, as the homes last reported, would suffice
// for a request. A refusal in that case may be wrong, since one central bucket could have admitted the request.
func (a *Account) Covers(now time.Time, tokens float64) bool {
	known := a.Held(now)
	for _, s := range a.sources {
		known += s.holding.heldElsewhere
	}
	return known >= tokens
}

// Take takes the tokens for a request, all of them or none.
func (a *Account) Take(now time.Time, tokens float64) ([]*Debit, bool) {
	if a.Held(now) < tokens {
		return nil, false
	}
	var debits []*Debit
	for _, s := range a.sources {
		p := s.holding.Take(now, tokens)
		if p == nil {
			continue
		}
		debits = append(debits, p)
		tokens -= p.Tokens()
	}
	a.activeRequests++
	return debits, true
}

// Return ends a request and refunds the tokens that it did not use.
func (a *Account) Return(now time.Time, debits []*Debit, unused float64) {
	a.activeRequests--
	for _, p := range slices.Backward(debits) {
		tokens := min(unused, p.Tokens())
		p.Return(now, tokens)
		unused -= tokens
	}
}

// RecordDemand adds the tokens of a request to the averages of demand.
func (a *Account) RecordDemand(now time.Time, tokens float64) {
	decay := a.decay(now)
	a.demand = a.demand*decay + tokens/demandWindow.Seconds()
	a.requestRate = a.requestRate*decay + 1/demandWindow.Seconds()
	a.updated = now
}

// Demand returns the average demand in tokens per second, or zero when requests are too rare to hold tokens for the next
// one.
func (a *Account) Demand(now time.Time) float64 {
	decay := a.decay(now)
	if a.requestRate*decay < busyRequestRate {
		return 0
	}
	return a.demand * decay
}

func (a *Account) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(a.updated).Seconds() / demandWindow.Seconds())
}

// IsIdle reports whether no tokens are held, in use or waiting to be refunded.
func (a *Account) IsIdle(now time.Time) bool {
	if a.activeRequests > 0 || a.Held(now) > 0 {
		return false
	}
	return !slices.ContainsFunc(a.sources, func(s source) bool { return s.holding.HasCredits() })
}

// RankZones returns the zones in the order in which to ask their homes: fuller pools first, so that no pool overflows while
// another is empty, and the instance's own zone before others that are only a little fuller. Homes that recently failed to
// answer are left out. Every pool has the given limits.
func (a *Account) RankZones(now time.Time, zones []string, limits Limits) []string {
	levels := make(map[string]float64, len(zones))
	for _, z := range zones {
		levels[z] = limits.Burst
	}
	for _, s := range a.sources {
		levels[s.zone] = s.holding.PoolLevel(now, limits)
		if s.holding.IsUnreachable(now) {
			delete(levels, s.zone)
		}
	}
	level, answers := levels[a.zone]
	if answers {
		levels[a.zone] = level * localPoolPreference
	}
	ordered := slices.DeleteFunc(slices.Clone(zones), func(z string) bool {
		_, ok := levels[z]
		return !ok
	})
	slices.SortStableFunc(ordered, func(x, y string) int { return cmp.Compare(levels[y], levels[x]) })
	return ordered
}

// A Draw is a request for tokens from the home of one zone.
type Draw struct {
	Zone string
	// MaxTokens is the upper bound of the tokens to ask for.
	MaxTokens float64
}

// Draws returns which homes to ask for the tokens that a request lacks, in order. The first draws leave the pools equally
// full, since a full pool loses its refill while another still has capacity. After that each home is asked for whatever is
// still lacking.
func (a *Account) Draws(now time.Time, zones []string, limits Limits, lacking float64) []Draw {
	ordered := a.RankZones(now, zones, limits)
	draws := a.levelingDraws(now, ordered, limits, lacking)
	for _, z := range ordered {
		draws = append(draws, Draw{Zone: z, MaxTokens: math.Inf(1)})
	}
	return draws
}

// levelingDraws returns the draws that leave the pools equally full. It leaves out homes that did not answer the last
// report, since the request would wait for them until the timeout.
func (a *Account) levelingDraws(now time.Time, zones []string, limits Limits, lacking float64) []Draw {
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
		draws = append(draws, Draw{Zone: z, MaxTokens: level})
		levels = append(levels, level)
	}
	left := levelAfterDraws(levels, lacking)
	for n := range draws {
		draws[n].MaxTokens -= left
	}
	return slices.DeleteFunc(draws, func(d Draw) bool { return d.MaxTokens <= 0 })
}

// levelAfterDraws returns the level at which the fullest pools are left when the tokens are taken from them.
func levelAfterDraws(levels []float64, tokens float64) float64 {
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

// FetchAmount returns how many tokens to ask a home for when a request lacks some: the demand of the fetch window, and no more than
// the request lacks when the account is not busy on this instance.
func (a *Account) FetchAmount(now time.Time, need float64) float64 {
	return max(need, a.Demand(now)*fetchWindow.Seconds()-a.Held(now))
}

// NeedsPrefetch reports whether the held tokens last for less than the prefetch window.
func (a *Account) NeedsPrefetch(now time.Time) bool {
	return a.Held(now) < a.Demand(now)*prefetchWindow.Seconds()
}

// HasSurplus reports whether more tokens are held than the demand of the fetch window.
func (a *Account) HasSurplus(now time.Time) bool {
	return a.Held(now) > a.Demand(now)*fetchWindow.Seconds()
}

// ZonesToReport returns the zones whose homes need a report: their grants end before the given time or are not needed, credits wait,
// or so many tokens were used without a report that the home's pool could count as full and lose its refill.
func (a *Account) ZonesToReport(now, before time.Time, burst float64) []string {
	surplus := a.HasSurplus(now)
	var zones []string
	for _, s := range a.sources {
		held := s.holding.Tokens(now) > 0
		unneeded := held && (surplus || s.holding.Expires().Before(before))
		if unneeded || s.holding.HasCredits() || s.holding.Unreported() > unreportedShare*burst {
			zones = append(zones, s.zone)
		}
	}
	return zones
}

func (a *Account) compareSources(x, y source) int {
	switch {
	case x.zone == a.zone:
		return -1
	case y.zone == a.zone:
		return 1
	default:
		return strings.Compare(x.zone, y.zone)
	}
}
