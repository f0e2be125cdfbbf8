package lrbalance

import "time"

const (
	// crossZoneCost is the cost of the traffic to another availability zone.
	crossZoneCost = 12 * time.Millisecond
	// needlessCrossingCost is added to it for a request that can meet its target in the own zone.
	needlessCrossingCost = 30 * time.Millisecond
	// crossZoneUnit is the unit of the learned delay of requests to another availability zone.
	crossZoneUnit = 10 * time.Millisecond
	// maxCrossing bounds the learned delay in these units.
	maxCrossing = 10.0
)

// zoneChoice is the cheapest engine of the own availability zone, and that of the others.
type zoneChoice struct {
	near, far         Choice
	nearCost, farCost time.Duration
	hasNear, hasFar   bool
	// nearMeetsTarget is set when an engine of the own zone is expected to meet the target of the request.
	nearMeetsTarget bool
}

// add compares a choice with those before it.
func (z *zoneChoice) add(request Request, c Choice, cost time.Duration, isNear bool) {
	switch {
	case !isNear && (!z.hasFar || cost < z.farCost):
		z.far, z.farCost, z.hasFar = c, cost, true
	case isNear && (!z.hasNear || cost < z.nearCost):
		z.near, z.nearCost, z.hasNear = c, cost, true
	}
	if isNear && request.Target > 0 && float64(c.Wait) <= targetThreshold*float64(request.Target) {
		z.nearMeetsTarget = true
	}
}

// cheapest returns the cheaper of both choices. The own zone is preferred more where it lets the request meet its target.
func (z *zoneChoice) cheapest() (Choice, bool) {
	far := z.farCost
	if z.nearMeetsTarget {
		far += needlessCrossingCost
	}
	if z.hasNear && (!z.hasFar || z.nearCost <= far) {
		return z.near, true
	}
	return z.far, z.hasFar
}

// isBetter reports whether a source with the tokens, in the given zone, is better than this one: it holds more, or as much in the own zone.
func (s source) isBetter(tokens int, isNear bool) bool {
	return tokens > s.tokens || tokens == s.tokens && tokens > 0 && isNear && !s.isNear
}
