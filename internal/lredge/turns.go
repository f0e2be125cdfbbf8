package lredge

import "time"

const (
	// turnMax is the longest time by which an instance waits for all that go before it together.
	turnMax = 900 * time.Millisecond
	// turnSpread keeps those that have waited so long from going at the same moment.
	turnSpread = 20 * time.Millisecond
	// standbyPause is the time between two looks at the lease of an instance that stands by. rareAfter further instances look half
	// as often when nobody holds it, and so on.
	standbyPause = 500 * time.Millisecond
	rareAfter    = 3
)

// turnDelay returns how much longer than others an instance waits with what one instance is enough for. Each one waits for
// those before it as long as the news of their work are on their way.
func turnDelay(rank int, newsDelay time.Duration) time.Duration {
	return min(time.Duration(rank)*newsDelay, turnMax) + time.Duration(rank)*turnSpread
}

// leaseLooks decides when an instance looks at the lease for orders. Only its owner uses it.
type leaseLooks struct {
	// heardAt is when another holder was last known.
	heardAt  time.Time
	lookedAt time.Time
}

// place is where an instance stands among those of which one holds the lease.
type place struct {
	// rank is the number of instances that go before it, delay how much longer than they it waits.
	rank  int
	delay time.Duration
	// standsBy is set for the first instance of each availability zone, so that one is left when a zone is cut off.
	standsBy bool
	isHolder bool
	// hearsHolder tells that another instance is known to hold the lease.
	hearsHolder bool
}

// isDue reports whether the instance shall look at the lease now. The holder does so all the time, and those that stand by so often
// that they take over as soon as it has lapsed. The others look once nobody is known to hold it, the rarer the further behind they are.
func (l *leaseLooks) isDue(now time.Time, p place) bool {
	if p.hearsHolder || l.heardAt.IsZero() {
		l.heardAt = now
	}
	pause := standbyPause
	if !p.standsBy {
		pause += standbyPause * time.Duration(p.rank/rareAfter)
	}
	isMissing := now.Sub(l.heardAt) > p.delay
	isDue := p.isHolder || (p.standsBy || isMissing) && now.Sub(l.lookedAt) >= pause
	if isDue {
		l.lookedAt = now
	}
	return isDue
}
