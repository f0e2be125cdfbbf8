package lrlimit

import "slices"

// Limits are a rate in tokens a second and a burst in tokens.
type Limits struct {
	Rate  float64
	Burst float64
}

// WithShare returns the part of the limits that the share, between 0 and 1, is entitled to.
func (l Limits) WithShare(share float64) Limits {
	return Limits{Rate: l.Rate * share, Burst: l.Burst * share}
}

// An Entitlement divides the limits of every client account between the availability zones. It never changes once it
// has been written, since two divisions in force at once could add up to more than the whole.
type Entitlement struct {
	Zones []string `json:"zones"`
}

// Share returns the part of all limits that the zone is entitled to.
func (e Entitlement) Share(zone string) float64 {
	if !slices.Contains(e.Zones, zone) {
		return 0
	}
	return 1 / float64(len(e.Zones))
}
