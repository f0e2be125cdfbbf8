package lrfleet

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// totals is the sum over some instances: their work at backend servers, and their usage of and demand for allowances.
type totals struct {
	loads  map[string]lrbalance.Load
	used   map[string]float64
	demand map[string]lrlimit.Demand
	// rollouts holds the gauges of roll-outs of services, by order.
	rollouts map[uint64]lrcanary.Gauge
	reached  int
	// uptime is how long the sender had run when it sent this.
	uptime time.Duration
}

func newTotals() totals {
	return totals{loads: map[string]lrbalance.Load{}, used: map[string]float64{}, demand: map[string]lrlimit.Demand{}, rollouts: map[uint64]lrcanary.Gauge{}}
}

// add adds other totals to these.
func (t *totals) add(other totals) {
	for server, l := range other.loads {
		t.loads[server] = t.loads[server].Plus(l)
	}
	for account, used := range other.used {
		t.used[account] += used
	}
	for order, g := range other.rollouts {
		t.rollouts[order] = t.rollouts[order].Plus(g)
	}
	for account, d := range other.demand {
		t.demand[account] = t.demand[account].Plus(d)
	}
	t.reached += other.reached
}

// report is the latest totals of one sender.
type report struct {
	totals
	process string
	at      time.Time
	// offset is added to the usage of the sender, so that the sum does not jump when the sender is new, has restarted or was
	// unreachable. What the sender used until then came from its own share of the allowances.
	offset map[string]float64
}

// reportSet keeps the latest report of each sender.
type reportSet struct{ reports map[string]report }

func newReportSet() *reportSet { return &reportSet{reports: map[string]report{}} }

// set stores the report of a sender.
func (t *reportSet) set(now time.Time, sender, process string, sum totals) {
	before, ok := t.reports[sender]
	r := report{totals: sum, process: process, at: now, offset: before.offset}
	// Reports that were sent at the beginning of a partition may be delayed until its end. They arrive first then, and the next report
	// holds all usage during the partition: between the two, the sender's uptime has advanced far more than the time here.
	wasDelayed := sum.uptime-before.uptime-now.Sub(before.at) > unreachableAfter
	if !ok || before.process != process || now.Sub(before.at) > unreachableAfter || wasDelayed {
		r.offset = map[string]float64{}
		for account, used := range before.used {
			r.offset[account] = used + before.offset[account]
		}
		for account, used := range sum.used {
			r.offset[account] -= used
		}
	}
	t.reports[sender] = r
}

// expire removes the load and demand of senders that have not reported for the given time from the sum. Their usage stays.
func (t *reportSet) expire(now time.Time, after time.Duration) {
	for sender, r := range t.reports {
		if now.Sub(r.at) > after && r.reached > 0 {
			r.loads, r.demand, r.rollouts, r.reached = nil, nil, nil, 0
			t.reports[sender] = r
		}
	}
}

// sum returns the sum of all reports except that of the given sender.
func (t *reportSet) sum(except string) totals {
	total := newTotals()
	for sender, r := range t.reports {
		if sender == except {
			continue
		}
		total.add(r.totals)
		for account, used := range r.offset {
			total.used[account] += used
		}
	}
	return total
}
