// Package lrcanary decides how the traffic of a service moves to the backend servers of another software version, its release.
//
// An operator's order names a service and a release. Until the release is judged, a bounded share of the service's requests goes to the
// servers of the new release, the canary. All instances count failures and slow answers of both releases on the same routes, and each
// judges the sums of all. A holder, one instance at a time, moves the traffic in stages and decides when the old servers may stop.
//
// The package does no I/O. Every function that depends on the time gets it as an argument.
package lrcanary

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the decision that the status of an entry holds.
type State string

const (
	// Undecided means that no decision has been stored for the order.
	Undecided State = ""
	// Running means that the traffic is moving.
	Running State = "running"
	// Completed means that the traffic has moved and the old servers stop.
	Completed State = "completed"
	// RolledBack means that the new release is bad and its servers stop.
	RolledBack State = "rolledBack"
)

// IsFinal reports whether nothing follows the state.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// An Entry is an operator's order with the status that the instances have stored for it.
type Entry struct {
	// Name is the name of the entry, which is that of the service.
	Name string `json:"name"`
	// To is the release to which the traffic shall move, within Duration.
	To       string        `json:"to"`
	Duration time.Duration `json:"duration"`
	// StoredState belongs to an order for the release StoredTo.
	StoredState State  `json:"storedState,omitempty"`
	StoredTo    string `json:"storedTo,omitempty"`
	// Revision is the revision of the entry in the store.
	Revision uint64 `json:"revision"`
	// Era is the era of the store in which the entry was read to change its status. It is zero in a list.
	Era uint64 `json:"-"`
}

// Order returns the identity of the order. It does not depend on the status.
func (e Entry) Order() uint64 {
	return xxhash.Sum64String(e.Name + "\x00" + e.To + "\x00" + strconv.FormatInt(int64(e.Duration), 10))
}

// Decision returns the stored state of this order. A status that names another release belongs to an earlier order.
func (e Entry) Decision() State {
	if e.StoredTo != e.To {
		return Undecided
	}
	return e.StoredState
}

// A Stage is how far a roll-out has come. Stages only grow, so that instances agree by taking the latest one that any of them knows.
type Stage uint8

const (
	// Waiting means that no holder has begun; the canary gets nothing.
	Waiting Stage = iota
	// Observing means that the canary gets a share below the exposure bound.
	Observing
	// Quarter means that the new release gets a quarter of the traffic, which shows faults that appear under load.
	Quarter
	// Half means that it gets half of the traffic.
	Half
	// Full means that all requests go to the new release. The old servers finish what runs there.
	Full
	// Rejected means that the release is bad: all requests go to the old servers.
	Rejected
	// Moved means that the status completed is stored. It follows Rejected, because a stored decision takes precedence over a verdict that
	// was not stored in time.
	Moved
)

// String returns the name of the stage for logs.
func (s Stage) String() string {
	names := [...]string{"waiting", "observing", "quarter", "half", "full", "rejected", "moved"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

const (
	// DefaultExposureShare is the bound on the share of requests that a bad release gets.
	DefaultExposureShare = 0.1
	// observedPart is the part of the exposure bound that the canary gets while it is observed. The rest covers the stages after that.
	observedPart = 0.8
	// boundPart is the part of the exposure bound that all stages before Full may use together.
	boundPart = 0.9
	// leastPart is the least part of the exposure bound at which the canary is observed, however short the duration is.
	leastPart = 0.2
	// maxDuration bounds the duration of an order.
	maxDuration = 24 * time.Hour
)

// IsDuration reports whether an order can have the duration.
func IsDuration(d time.Duration) bool { return d > 0 && d <= maxDuration }

// A schedule divides the duration of an order.
type schedule struct {
	// observed is the share of the canary while it is observed.
	observed float64
	// moveAt is when the stages after Observing begin, step how long each of them lasts, and finishAt when the old servers may stop.
	moveAt   time.Duration
	step     time.Duration
	finishAt time.Duration
}

func newSchedule(duration time.Duration, exposureShare float64) schedule {
	d := duration
	step := min(max(d/20, 300*time.Millisecond), 10*time.Second)
	drain := min(max(d/6, time.Second), 6*time.Second)
	margin := min(max(d/10, 800*time.Millisecond), 3*time.Second)
	// reservePart keeps most of a short duration for the observation.
	const reservePart = 0.45
	reserve := min(2*step+drain+margin/2, time.Duration(reservePart*float64(d)))
	s := schedule{moveAt: d - reserve, step: min(step, reserve/4), finishAt: max(d-margin, d-reserve/2)}
	moving := shareOf(Quarter, 0)*s.step.Seconds() + shareOf(Half, 0)*s.step.Seconds()
	left := (boundPart*exposureShare*d.Seconds() - moving) / s.moveAt.Seconds()
	s.observed = math.Max(math.Min(observedPart*exposureShare, left), leastPart*exposureShare)
	return s
}

// shareOf returns the share of the requests that goes to the new release at a stage.
func shareOf(stage Stage, observed float64) float64 {
	switch stage {
	case Observing:
		return observed
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case Full, Moved:
		return 1
	default:
		return 0
	}
}
