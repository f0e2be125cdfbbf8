package lrlimit

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

const (
	// prefetchShare is the largest share of the pool that one instance is granted beyond what its requests need.
	prefetchShare = 0.25
	// sessionRetention is how many grant validities a home remembers an instance after its last report.
	sessionRetention = 10
	// marginDivisor sets how much longer than its validity a home counts a grant as outstanding: a tenth of the validity.
	marginDivisor = 10
	// roundingTolerance is the largest rounding error, as a share of the burst.
	roundingTolerance = 1e-6
)

// ErrInvariant reports that the limiter has violated one of its invariants, which is a bug.
var ErrInvariant = errs.Class("limits: invariant violated, report it with the log")

// WithMargin returns the time after which a grant of the validity has certainly ended for its holder, by the clock of any
// instance.
func WithMargin(validity time.Duration) time.Duration { return validity + validity/marginDivisor }

// A Home is the pool of tokens that one availability zone may use of one client account. The tokens in the pool and those
// that instances may still use of its grants are together never above the burst, so that no window of time admits more than
// the rate and the burst.
type Home struct {
	limits   Limits
	validity time.Duration
	level    float64
	// outstanding are the granted tokens that instances may still use.
	outstanding float64
	updated     time.Time
	nextExpiry  time.Time
	mark        uint64
	refunds     refundBound
	sessions    map[string]*session
}

// session is what a home knows of one sender of reports.
type session struct {
	sequence uint64
	// used is the count of the last report, initialUsed that of the first report that the home received from the sender.
	used        float64
	initialUsed float64
	// granted is what the sender may still use, totalGranted what it was granted in total.
	granted      float64
	totalGranted float64
	expires      time.Time
	lastReportAt time.Time
}

// NewHome returns a Home whose pool is empty. Every grant of an earlier home must have ended.
func NewHome(now time.Time, limits Limits, validity time.Duration) *Home {
	return &Home{
		limits: limits, validity: validity, updated: now, mark: uint64(now.UnixNano()), sessions: map[string]*session{},
	}
}

// Exchange applies the report of an instance and grants tokens. An error is of class ErrInvariant.
func (h *Home) Exchange(now time.Time, limits Limits, report Report) (Answer, error) {
	h.advance(now)
	h.applyLimits(limits)
	s, known := h.sessions[report.Session]
	if !known {
		s = &session{used: report.Used, initialUsed: report.Used}
		h.sessions[report.Session] = s
	}
	if known && report.Sequence <= s.sequence {
		return Answer{}, nil
	}
	s.sequence, s.lastReportAt = report.Sequence, now
	err := h.settle(s, report)
	h.mark++
	h.refunds.start(h.mark, h.deficit())
	h.applyCredits(report.Credits)
	return h.grant(now, s, report), errs.Combine(err, h.check())
}

// Level returns the tokens in the pool.
func (h *Home) Level(now time.Time) float64 {
	h.advance(now)
	return h.level
}

// Sweep removes the sessions of instances that have sent no report for long.
func (h *Home) Sweep(now time.Time) {
	h.advance(now)
	for name, s := range h.sessions {
		if now.Sub(s.lastReportAt) > sessionRetention*h.validity {
			delete(h.sessions, name)
		}
	}
}

// settle compares the report with what was granted. Tokens that are neither used nor held return to the pool. Tokens used of
// a grant that has expired here were counted when it expired.
func (h *Home) settle(s *session, report Report) error {
	held := min(report.Held, s.granted)
	unused := max(s.granted-(report.Used-s.used)-held, 0)
	h.outstanding -= s.granted - held
	s.used, s.granted = report.Used, held
	h.level = min(h.level+unused, h.capacity())
	if s.used-s.initialUsed > s.totalGranted+h.slack() {
		return ErrInvariant.New("an instance has used %g tokens of %g granted", s.used-s.initialUsed, s.totalGranted)
	}
	return nil
}

// applyCredits refunds the tokens of the credits, as far as they fit the pool.
func (h *Home) applyCredits(credits []Credit) {
	for _, c := range credits {
		tokens := min(c.Tokens, h.refunds.since(c.Mark), h.deficit())
		h.level += tokens
		h.refunds.subtract(tokens)
	}
}

func (h *Home) grant(now time.Time, s *session, report Report) Answer {
	tokens := min(report.Need, h.level)
	extra := min(report.Want-report.Need, (h.level-tokens)*prefetchShare)
	tokens += max(extra, 0)
	h.level -= tokens
	h.outstanding += tokens
	s.granted += tokens
	s.totalGranted += tokens
	s.expires = now.Add(WithMargin(h.validity))
	if s.granted > 0 && (h.nextExpiry.IsZero() || s.expires.Before(h.nextExpiry)) {
		h.nextExpiry = s.expires
	}
	return Answer{Accepted: true, Tokens: tokens, Level: h.level, HeldElsewhere: max(h.outstanding-s.granted, 0), Validity: h.validity, Mark: h.mark}
}

// advance refills the pool and ends the grants that have expired, in order of time.
func (h *Home) advance(now time.Time) {
	for !h.nextExpiry.IsZero() && !h.nextExpiry.After(now) {
		at := h.nextExpiry
		h.refill(at)
		h.expire(at)
	}
	h.refill(now)
}

func (h *Home) refill(now time.Time) {
	elapsed := now.Sub(h.updated)
	if elapsed <= 0 {
		return
	}
	h.level = min(h.level+elapsed.Seconds()*h.limits.Rate, h.capacity())
	h.updated = now
	h.refunds.observe(h.deficit())
}

// expire counts the remaining tokens of expired grants as used, since their holders may have used them.
func (h *Home) expire(now time.Time) {
	h.nextExpiry = time.Time{}
	for _, s := range h.sessions {
		if !s.expires.After(now) {
			h.outstanding -= s.granted
			s.granted = 0
		}
		if s.granted > 0 && (h.nextExpiry.IsZero() || s.expires.Before(h.nextExpiry)) {
			h.nextExpiry = s.expires
		}
	}
}

func (h *Home) applyLimits(limits Limits) {
	if limits == h.limits {
		return
	}
	h.limits = limits
	h.level = min(h.level, h.capacity())
	h.refunds.reset()
}

// capacity returns the most tokens that the pool may hold beside the outstanding grants.
func (h *Home) capacity() float64 { return max(h.limits.Burst-h.outstanding, 0) }

// deficit returns the tokens by which the pool is below its capacity.
func (h *Home) deficit() float64 { return max(h.limits.Burst-h.outstanding-h.level, 0) }
func (h *Home) slack() float64   { return max(h.limits.Burst, 1) * roundingTolerance }

func (h *Home) check() error {
	if h.level > h.capacity()+h.slack() || h.level < -h.slack() || h.outstanding < -h.slack() || math.IsNaN(h.level) {
		return ErrInvariant.New("a pool of burst %g holds %g tokens beside grants of %g", h.limits.Burst, h.level, h.outstanding)
	}
	return nil
}
