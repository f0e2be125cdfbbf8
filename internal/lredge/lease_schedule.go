package lredge

import "time"

const (
	// maxRankDelay limits the part of the rank delay that covers the propagation of updates.
	maxRankDelay = 900 * time.Millisecond
	// rankStagger keeps instances that have reached maxRankDelay from acting at the same moment.
	rankStagger = 20 * time.Millisecond
	// standbyCheckInterval is the time between two reads of the lease by a standby instance. For the other instances the interval grows
	// by the same amount for every ranksPerBackoffStep ranks, so that few of them read the lease while nobody holds it.
	standbyCheckInterval = 500 * time.Millisecond
	ranksPerBackoffStep  = 3
)

// rankDelay returns how much longer than the first instance the one of the rank waits before it does work that one instance can do for
// all. It waits for each one before it as long as updates about that one's work take to arrive.
func rankDelay(rank int, propagationDelay time.Duration) time.Duration {
	return min(time.Duration(rank)*propagationDelay, maxRankDelay) + time.Duration(rank)*rankStagger
}

// leaseSchedule decides when an instance reads the lease for orders. It is not safe for concurrent use.
type leaseSchedule struct {
	// holderKnownAt is when another instance was last known to hold the lease.
	holderKnownAt time.Time
	checkedAt     time.Time
	// expiredAt is the end of the lease for which a standby instance has last read it at once.
	expiredAt time.Time
}

// leaseCandidate describes the position of an instance among those that compete for the lease.
type leaseCandidate struct {
	// rank is the number of instances ahead of this one.
	rank int
	// delay is the rank delay.
	delay time.Duration
	// isStandby is set for the first instance of each availability zone, so that one standby remains if a zone becomes unreachable.
	isStandby bool
	isHolder  bool
	// knowsHolder is set while another instance is known to hold the lease.
	knowsHolder bool
	// expiredAt is when the lease that was last read ended, or zero while it may still last.
	expiredAt time.Time
}

// isDue reports whether the instance shall read the lease now. The holder always does, and standby instances do so often enough to
// see each renewal, and at once when the lease has expired. The others read it only after their rank delay without a known holder, and less often the
// higher their rank is.
func (l *leaseSchedule) isDue(now time.Time, c leaseCandidate) bool {
	if c.knowsHolder || l.holderKnownAt.IsZero() {
		l.holderKnownAt = now
	}
	interval := standbyCheckInterval
	if !c.isStandby {
		interval += standbyCheckInterval * time.Duration(c.rank/ranksPerBackoffStep)
	}
	isMissing := now.Sub(l.holderKnownAt) > c.delay
	hasExpired := c.isStandby && !c.expiredAt.IsZero() && !c.expiredAt.Equal(l.expiredAt)
	isDue := c.isHolder || hasExpired || (c.isStandby || isMissing) && now.Sub(l.checkedAt) >= interval
	if isDue {
		l.checkedAt, l.expiredAt = now, c.expiredAt
	}
	return isDue
}
