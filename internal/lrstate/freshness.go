package lrstate

import (
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpause"
)

// maxConfirmWait is the longest that an instance refuses keys after a pause when no source answers it.
const maxConfirmWait = 2 * time.Second

// A Freshness decides whether the active configuration is recent enough to accept keys by it. After a pause of the
// process, keys that were withdrawn meanwhile must not be accepted, so the configuration has to be confirmed first. Each
// pause that the detector finds begins a new epoch.
type Freshness struct {
	detector   *lrpause.Detector
	staleBound time.Duration

	mutex          sync.Mutex
	contactAt      time.Time
	confirmedEpoch uint64
	observedEpoch  uint64
	// resumedAt is when the last pause was noticed.
	resumedAt time.Time
}

// NewFreshness returns a Freshness that refuses keys when neither the platform nor a peer has answered for longer than
// staleBound. Zero means no bound: keys are accepted however long no source answers.
func NewFreshness(now time.Time, detector *lrpause.Detector, staleBound time.Duration) *Freshness {
	return &Freshness{detector: detector, staleBound: staleBound, contactAt: now}
}

// Contacted records that the platform or a peer has answered.
func (f *Freshness) Contacted(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.After(f.contactAt) {
		f.contactAt = now
	}
}

// Unconfirmed returns the current epoch and reports whether its configuration has yet to be confirmed.
func (f *Freshness) Unconfirmed(now time.Time) (uint64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch := f.observeEpoch(now)
	return epoch, epoch != f.confirmedEpoch
}

// Confirm records that the platform or a peer has confirmed the configuration within the epoch.
func (f *Freshness) Confirm(epoch uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirmedEpoch = max(f.confirmedEpoch, epoch)
}

// Check returns an error of kind lrerror.KindUnavailable while keys must not be accepted.
func (f *Freshness) Check(now time.Time) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	epoch := f.observeEpoch(now)
	if epoch != f.confirmedEpoch && now.Sub(f.resumedAt) < maxConfirmWait {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"the instance was paused and has yet to confirm its list of keys; send the request again")
	}
	if f.staleBound > 0 && now.Sub(f.contactAt) > f.staleBound {
		return lrerror.New(lrerror.KindUnavailable, lrerror.NotRun,
			"the instance has reached neither the platform nor a peer for %s and does not accept keys; send the request to another zone, or change staleBound", f.staleBound)
	}
	return nil
}

func (f *Freshness) observeEpoch(now time.Time) uint64 {
	epoch := f.detector.Epoch(now)
	if epoch != f.observedEpoch {
		f.observedEpoch, f.resumedAt = epoch, now
	}
	return epoch
}
