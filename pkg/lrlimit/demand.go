package lrlimit

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time over which an instance averages the demand that it reports.
	demandPeriod = 300 * time.Millisecond
	// ownDemandPeriod is the time over which the own demand is averaged for the share.
	ownDemandPeriod = time.Second
	// demandTimeConstant is the time constant with which the demand at other instances is smoothed.
	demandTimeConstant = 400 * time.Millisecond
	// riseDeviations is by how many standard deviations reported demand must exceed the smoothed one to replace it.
	riseDeviations = 0.75
	// sizeTimeConstant is the time constant of the mean size of requests.
	sizeTimeConstant = 10 * time.Second
	// shareTimeConstant is the time constant with which an instance's share follows the demand.
	shareTimeConstant = 5 * time.Second
	// equalShare is the part of each account that is divided equally between the instances, whatever their demand.
	equalShare = 0.2
	// minDemand is the demand of others, in tokens per second, below which there is none.
	minDemand = 1
)

// Demand is what callers ask for of an account, whether it is admitted or not.
type Demand struct {
	// Rate is in tokens per second.
	Rate float64
	// Squares is the sum of the squares of the sizes of the requests, per second.
	Squares float64
}

// Plus returns the sum of both.
func (d Demand) Plus(o Demand) Demand {
	return Demand{Rate: d.Rate + o.Rate, Squares: d.Squares + o.Squares}
}

// IsValid reports whether the demand can be that of some requests.
func (d Demand) IsValid() bool {
	return d.Rate >= 0 && d.Squares >= 0 && !math.IsInf(d.Rate, 1) && !math.IsInf(d.Squares, 1)
}

// interpolate returns the demand between this one, at the weight 1, and the other, at the weight 0.
func (d Demand) interpolate(o Demand, weight float64) Demand {
	return Demand{Rate: d.Rate*weight + o.Rate*(1-weight), Squares: d.Squares*weight + o.Squares*(1-weight)}
}

// demandView is what an instance knows of the demand for an account.
type demandView struct {
	// share is the instance's share of the demand, and sharedAt when it was last updated.
	share    float64
	sharedAt time.Time
	// others is the demand at the other instances. reported is what they last reported of it, and smoothed its average until heardAt.
	others   Demand
	reported Demand
	smoothed Demand
	heardAt  time.Time
	// offered and squares are decaying sums, over all instances, of the sizes of requests and of their squares.
	offered float64
	squares float64
}

// count counts a request at this instance for the mean size.
func (d *demandView) count(tokens float64) {
	d.offered += tokens
	d.squares += tokens * tokens
}

// size returns the mean size of the requests, weighted by size, so that the variance of the sum of some requests is their sum times it.
func (d *demandView) size() float64 { return d.squares / max(d.offered, 1) }

// hear applies the reported demand at the other instances. It is smoothed, except where it has clearly risen.
func (d *demandView) hear(now time.Time, reported Demand) {
	elapsed := 0.0
	if !d.heardAt.IsZero() {
		elapsed = max(now.Sub(d.heardAt).Seconds(), 0)
	}
	decay := math.Exp(-elapsed / sizeTimeConstant.Seconds())
	d.offered = d.offered*decay + reported.Rate*elapsed
	d.squares = d.squares*decay + reported.Squares*elapsed
	d.smoothed = d.smoothed.interpolate(d.reported, math.Exp(-elapsed/demandTimeConstant.Seconds()))
	if elapsed > ReportHorizon.Seconds() {
		d.smoothed = reported
	}
	d.heardAt, d.reported, d.others = now, reported, d.smoothed
	least := reported.Rate - riseDeviations*math.Sqrt(reported.Rate*d.size()/demandPeriod.Seconds())
	if least > d.smoothed.Rate {
		d.others.Rate = least
	}
}

// updateShare lets the share follow the demand. The own demand is as old as that of the others, so that a surge at all instances leaves
// the shares as they are.
func (d *demandView) updateShare(now time.Time, fleet fleetView, own float64) {
	equal := 1 / float64(fleet.instances)
	if d.sharedAt.IsZero() {
		d.share, d.sharedAt = equal, now
	}
	elapsed := min(now.Sub(d.sharedAt), demandPeriod).Seconds()
	d.sharedAt = now
	if own+d.others.Rate > 0 {
		target := equalShare*equal + (1-equalShare)*own/(own+d.others.Rate)
		d.share += (target - d.share) * (1 - math.Exp(-elapsed/shareTimeConstant.Seconds()))
	}
}
