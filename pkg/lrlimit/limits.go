package lrlimit

import "slices"

// Limits are the rate, in tokens per second, and the burst, in tokens, of a client account.
type Limits struct {
	Rate  float64
	Burst float64
}

// WithShare returns the given share of the limits, between 0 and 1.
func (l Limits) WithShare(share float64) Limits {
	return Limits{Rate: l.Rate * share, Burst: l.Burst * share}
}

// An Entitlement divides the limits of every client account equally between the availability zones. It never changes once it
// has been written, since two divisions in effect at the same time could add up to more than the whole.
type Entitlement struct {
	Zones []string `json:"zones"`
}

// Share returns the share of all limits that the zone is entitled to, or zero when the zone is not listed.
func (e Entitlement) Share(zone string) float64 {
	if !slices.Contains(e.Zones, zone) {
		return 0
	}
	return 1 / float64(len(e.Zones))
}
