package lredge

import "time"

const (
	// turnMax is the longest time by which an instance waits for all that go before it together.
	turnMax = 900 * time.Millisecond
	// turnSpread keeps those that have waited so long from going at the same moment.
	turnSpread = 20 * time.Millisecond
	// standbys is the number of instances that look at the lease all the time, so that one of them takes over as soon as it
	// has lapsed, and standbyPause the time between two looks.
	standbys     = 3
	standbyPause = 500 * time.Millisecond
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

// isDue reports whether the instance shall look at the lease now. The holder does so all the time. The first instances by rank
// stand by, the others look once nobody is known to hold the lease, the rarer the further behind they are.
func (l *leaseLooks) isDue(now time.Time, rank int, isHolder, isHolderHeard bool, delay time.Duration) bool {
	if isHolderHeard || l.heardAt.IsZero() {
		l.heardAt = now
	}
	pause := standbyPause + standbyPause*time.Duration(rank/standbys)
	isMissing := now.Sub(l.heardAt) > delay
	isDue := isHolder || (rank < standbys || isMissing) && now.Sub(l.lookedAt) >= pause
	if isDue {
		l.lookedAt = now
	}
	return isDue
}
