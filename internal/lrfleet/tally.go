package lrfleet

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// A tally is the sum over some instances: their work at backend servers and what they have used of allowances.
type tally struct {
	loads   map[string]lrbalance.Load
	used    map[string]float64
	reached int
	// uptime is how long the sender had run when it told this.
	uptime time.Duration
}

func newTally() tally {
	return tally{loads: map[string]lrbalance.Load{}, used: map[string]float64{}}
}

// add adds another tally to this one.
func (t *tally) add(other tally) {
	for server, l := range other.loads {
		t.loads[server] = t.loads[server].Plus(l)
	}
	for account, used := range other.used {
		t.used[account] += used
	}
	t.reached += other.reached
}

// report is the latest tally of one sender.
type report struct {
	tally
	process string
	at      time.Time
	// offset is added to what the sender has used, so that the sum goes on without a jump where the sender is new,
	// has restarted or was out of reach. What it used until then came from its own part of the allowances.
	offset map[string]float64
}

// tallies keeps the latest reports of several senders.
type tallies struct{ reports map[string]report }

func newTallies() *tallies { return &tallies{reports: map[string]report{}} }

// set takes in the report of a sender.
func (t *tallies) set(now time.Time, sender, process string, sum tally) {
	before, ok := t.reports[sender]
	r := report{tally: sum, process: process, at: now, offset: before.offset}
	// What is sent at the beginning of a cut may be held up until its end. It comes first then, and all that was used in the cut with the
	// next report: the sender's time has gone on far more between the two than ours.
	wasHeldUp := sum.uptime-before.uptime-now.Sub(before.at) > reachableFor
	if !ok || before.process != process || now.Sub(before.at) > reachableFor || wasHeldUp {
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

// expire takes the work of senders that were not heard for the given time out of the sum.
func (t *tallies) expire(now time.Time, after time.Duration) {
	for sender, r := range t.reports {
		if now.Sub(r.at) > after && r.reached > 0 {
			r.loads, r.reached = nil, 0
			t.reports[sender] = r
		}
	}
}

// sum adds all reports up, but for that of the given sender.
func (t *tallies) sum(except string) tally {
	total := newTally()
	for sender, r := range t.reports {
		if sender == except {
			continue
		}
		total.add(r.tally)
		for account, used := range r.offset {
			total.used[account] += used
		}
	}
	return total
}
