package lrstate

import (
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpause"
)

// confirmBound is the longest that an instance refuses keys after a pause while nobody answers it.
const confirmBound = 2 * time.Second

// A Freshness tells whether the configuration in force is recent enough to accept keys by it.
type Freshness struct {
	detector *lrpause.Detector
	bound    time.Duration

	mutex          sync.Mutex
	contactAt      time.Time
	confirmedEpoch uint64
	noticedEpoch   uint64
	resumedAt      time.Time
}

// NewFreshness returns a Freshness that refuses keys when there was no contact with the platform or a peer for the
// bound. A bound of zero means that keys are accepted without end.
func NewFreshness(now time.Time, detector *lrpause.Detector, bound time.Duration) *Freshness {
	return &Freshness{detector: detector, bound: bound, contactAt: now}
}

// Contacted notes that the platform or a peer has answered.
func (f *Freshness) Contacted(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.After(f.contactAt) {
		f.contactAt = now
	}
}

// Unconfirmed returns the epoch of the process and reports whether its configuration has yet to be confirmed.
func (f *Freshness) Unconfirmed(now time.Time) (uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch := f.notice(now)
	return epoch, epoch != f.confirmedEpoch
}

// Confirm notes that the configuration has been confirmed by the platform or a peer within the epoch.
func (f *Freshness) Confirm(epoch uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirmedEpoch = max(f.confirmedEpoch, epoch)
}

// Check returns an error while keys must not be accepted.
func (f *Freshness) Check(now time.Time) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch := f.notice(now)
	if epoch != f.confirmedEpoch && now.Sub(f.resumedAt) < confirmBound {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"the instance was paused and has yet to confirm its list of keys; send the request again")
	}
	if f.bound > 0 && now.Sub(f.contactAt) > f.bound {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"the instance has reached neither the platform nor a peer for %s and does not accept keys; send the request to another zone, or change staleBound", f.bound)
	}
	return nil
}

func (f *Freshness) notice(now time.Time) uint64 {
	epoch := f.detector.Epoch(now)
	if epoch != f.noticedEpoch {
		f.noticedEpoch, f.resumedAt = epoch, now
	}
	return epoch
}
