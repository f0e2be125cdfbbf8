package lrnotice

import (
	"strconv"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	// sendersPerLimit is how many instances send to a server for each request a second of its limit, beside baseSenders.
	sendersPerLimit = 0.8
	baseSenders     = 1.0
	// burstPerLimit is how many requests all senders together may send at once for each request a second of the limit, beside one.
	burstPerLimit = 1.2
	// confirmTimeout is how long a limit that no answer has confirmed is left to the same senders. Low limits take longer: the time in
	// which each sender may send confirmRequests requests, at most maxConfirmTimeout.
	confirmTimeout    = 4 * time.Second
	confirmRequests   = 1.5
	maxConfirmTimeout = 30 * time.Second
	// keepTokensFor is how long an instance that is no sender any more keeps what it has saved up. Links that fail again and again make
	// instances senders by turns.
	keepTokensFor = 30 * time.Second
	// minTrialRate is the rate, in requests a second, at which a server is tried that has named a limit of about zero and has not confirmed
	// it since.
	minTrialRate = 0.05
)

// A Fleet is the instances that share the servers, as one of them sees it.
type Fleet struct {
	// Instances are the names of the instances within reach, this one included. It is empty while they are not known.
	Instances []string
	// Share is their part of all instances. In a partition each side keeps to its part of each limit.
	Share float64
}

// equals reports whether both fleets have the same instances in the same order and the same share.
func (f Fleet) equals(other Fleet) bool {
	if f.Share != other.Share || len(f.Instances) != len(other.Instances) {
		return false
	}
	for n, name := range f.Instances {
		if name != other.Instances[n] {
			return false
		}
	}
	return true
}

// SetFleet sets the instances among which the limits are divided. The names must be sorted.
func (b *Board) SetFleet(fleet Fleet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.fleet.equals(fleet) {
		return
	}
	b.fleet = fleet
	b.fleetVersion++
}

// allowance is this instance's part of the limit of one server.
type allowance struct {
	basis    allowanceBasis
	isSender bool
	// senderShare is the part of the instances within reach that are senders.
	senderShare float64
	bucket      lrlimit.Bucket
	// endedAt is when this instance was last a sender, while it is none.
	endedAt time.Time
}

// allowanceBasis is what an allowance follows from.
type allowanceBasis struct {
	limit        float64
	epoch        int
	fleetVersion uint64
}

// senders returns how many instances within reach send to a server with the limit: enough to find its requests, and so few that the
// requests that all of them may send at the same moment stay within what the server bears.
func (f Fleet) senders(limit float64) int {
	senders := int((sendersPerLimit*limit+baseSenders)*f.Share + 0.5)
	return max(senders, 1)
}

// burst returns how many requests one of the senders may send at once.
func (f Fleet) burst(limit float64, senders int) float64 {
	return max((burstPerLimit*limit+baseSenders)*f.Share/float64(senders), 1)
}

// hasLimit reports whether the server names a limit.
func (e *entry) hasLimit(now time.Time) bool {
	return e.limit.hasLimit && now.Sub(e.limit.received) < limitRetention
}

// epoch returns how often the senders have been changed because no answer has confirmed the limit: those before had no request for the
// server, and it may have ended its limit since.
func (e *entry) epoch(now time.Time) int {
	timeout := maxConfirmTimeout
	if e.limit.limit > 0 {
		senders := float64(Fleet{Share: 1}.senders(e.limit.limit))
		timeout = min(time.Duration(confirmRequests*senders/e.limit.limit*float64(time.Second)), maxConfirmTimeout)
	}
	return int(now.Sub(e.limit.received) / max(timeout, confirmTimeout))
}

// refresh brings the allowance up to date. The bucket of an instance that becomes a sender is empty, unless it was one until a moment
// ago. It must be called with the mutex held.
func (b *Board) refresh(now time.Time, id string, e *entry) {
	a := &e.allowance
	basis := allowanceBasis{limit: e.limit.limit, epoch: e.epoch(now), fleetVersion: b.fleetVersion}
	if a.basis == basis {
		a.bucket = a.bucket.WithTime(now)
		return
	}
	a.basis = basis
	limit := basis.limit
	if basis.epoch > 0 {
		limit = max(limit, minTrialRate)
	}
	senders := min(b.fleet.senders(limit), max(len(b.fleet.Instances), 1))
	a.senderShare = float64(senders) / float64(max(len(b.fleet.Instances), 1))
	wasSender := a.isSender
	a.isSender = b.isAmongFirst(id+"/"+strconv.Itoa(basis.epoch), senders)
	rate, burst := limit*b.fleet.Share/float64(senders), b.fleet.burst(limit, senders)
	switch {
	case a.isSender && !wasSender && now.Sub(a.endedAt) > keepTokensFor:
		a.bucket = lrlimit.NewBucket(now, rate, burst)
	case a.isSender:
		a.bucket = a.bucket.WithLimits(now, rate, burst)
	case wasSender:
		a.bucket, a.endedAt = a.bucket.WithLimits(now, 0, 1), now
	}
}

// isAmongFirst reports whether this instance is among the first of the fleet in the order by the hash of the key. It must be called with the
// mutex held.
func (b *Board) isAmongFirst(key string, count int) bool {
	own, before, isListed := lrhash.RendezvousScore(key, b.self), 0, false
	for _, name := range b.fleet.Instances {
		isListed = isListed || name == b.self
		if name != b.self && lrhash.RendezvousScore(key, name) > own {
			before++
		}
	}
	return isListed && before < count
}

// Admission says whether a request may be sent to a server now.
type Admission int

const (
	// Unlimited means that the server has not asked for anything.
	Unlimited Admission = iota
	// WithinLimit means that the server names a limit, of which this instance has a request left.
	WithinLimit
	// OverLimit means that this instance has no request of the server's limit left.
	OverLimit
	// Paused means that the server wants no request from this instance for now.
	Paused
	// Leaving means that the server takes no new requests.
	Leaving
)

// IsAllowed reports whether a request may be sent.
func (a Admission) IsAllowed() bool { return a == Unlimited || a == WithinLimit }

// A Decision is the admission of a request to a server.
type Decision struct {
	Admission Admission
	// SenderShare is the part of the instances within reach that may send to a server at its limit.
	SenderShare float64
	// Wait is the time until a request is expected to be admitted. It is zero when that is now, or not known.
	Wait time.Duration
}

// Check decides whether a request may be sent to the server now.
func (b *Board) Check(now time.Time, server Server) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(now, server, false)
	if !ok {
		return Decision{}
	}
	return b.check(now, server.ID, e)
}

// check must be called with the mutex held.
func (b *Board) check(now time.Time, id string, e *entry) Decision {
	switch {
	case e.isLeaving:
		return Decision{Admission: Leaving}
	case now.Before(e.pausedUntil):
		return Decision{Admission: Paused, Wait: e.pausedUntil.Sub(now)}
	case !e.hasLimit(now):
		return Decision{}
	}
	b.refresh(now, id, e)
	if e.allowance.isSender && e.allowance.bucket.Tokens() >= 1 {
		return Decision{Admission: WithinLimit, SenderShare: e.allowance.senderShare}
	}
	return Decision{Admission: OverLimit, Wait: limitWait(e)}
}

// limitWait returns after how long some instance is expected to send to the server again.
func limitWait(e *entry) time.Duration {
	if e.limit.limit <= 0 {
		return maxConfirmTimeout
	}
	return time.Duration(float64(time.Second) / e.limit.limit)
}

// Take decides like Check, and takes a request that is admitted from the limit.
func (b *Board) Take(now time.Time, server Server) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(now, server, false)
	if !ok {
		return Decision{}
	}
	decision := b.check(now, server.ID, e)
	if decision.Admission == WithinLimit {
		e.allowance.bucket = e.allowance.bucket.WithTokens(-1)
	}
	return decision
}

// Return gives back a request that was taken from the limit of the server and not sent.
func (b *Board) Return(now time.Time, server Server) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e, ok := b.entry(now, server, false)
	if ok && e.allowance.isSender {
		e.allowance.bucket = e.allowance.bucket.WithTokens(1)
	}
}
