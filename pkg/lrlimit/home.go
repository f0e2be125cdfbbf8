package lrlimit

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

const (
	// prefetchShare is the largest part of the pool that goes to a daemon beyond what its requests need.
	prefetchShare = 0.25
	// sessionMemory is how many validities a home remembers a silent daemon.
	sessionMemory = 10
	// marginDivisor is the part of the validity by which a home outwaits a grant.
	marginDivisor = 10
	// tolerance is the largest rounding error, as a part of the burst.
	tolerance = 1e-6
)

// ErrInvariant means that the limiter has violated one of its invariants, which is a fault of the program.
var ErrInvariant = errs.Class("limits: invariant violated, report it with the log")

// WithMargin returns the time after which a grant of the validity has surely ended for its holder, on any clock.
func WithMargin(validity time.Duration) time.Duration { return validity + validity/marginDivisor }

// A Home pools the tokens that one availability zone may use of one client account. What it holds and what daemons
// may still use of its grants is never above the burst, so that no window sees more than the rate and the burst.
type Home struct {
	limits      Limits
	validity    time.Duration
	level       float64
	outstanding float64
	updated     time.Time
	nextExpiry  time.Time
	mark        uint64
	refunds     refundBound
	sessions    map[string]*session
}

type session struct {
	sequence uint64
	// used is the count of the last report, usedBefore the count when the home first heard of the daemon.
	used       float64
	usedBefore float64
	// granted is what the daemon may still use, total what it was ever granted.
	granted float64
	total   float64
	expires time.Time
	heard   time.Time
}

// NewHome returns a Home whose pool is empty. Every grant of an earlier home must have ended.
func NewHome(now time.Time, limits Limits, validity time.Duration) *Home {
	return &Home{
		limits: limits, validity: validity, updated: now, mark: uint64(now.UnixNano()), sessions: map[string]*session{},
	}
}

// Exchange takes the report of a daemon in and grants tokens.
func (h *Home) Exchange(now time.Time, limits Limits, report Report) (Answer, error) {
	h.advance(now)
	h.applyLimits(limits)
	s, known := h.sessions[report.Daemon]
	if !known {
		s = &session{used: report.Used, usedBefore: report.Used}
		h.sessions[report.Daemon] = s
	}
	if known && report.Sequence <= s.sequence {
		return Answer{}, nil
	}
	s.sequence, s.heard = report.Sequence, now
	err := h.settle(s, report)
	h.mark++
	h.refunds.start(h.mark, h.deficit())
	h.giveBack(report.Credits)
	return h.grant(now, s, report), errs.Combine(err, h.check())
}

// Level returns the tokens in the pool.
func (h *Home) Level(now time.Time) float64 {
	h.advance(now)
	return h.level
}

// Sweep forgets the daemons that have been silent for long.
func (h *Home) Sweep(now time.Time) {
	h.advance(now)
	for name, s := range h.sessions {
		if now.Sub(s.heard) > sessionMemory*h.validity {
			delete(h.sessions, name)
		}
	}
}

// settle compares the report with what was granted. What is neither used nor held comes back to the pool. What was
// used of a grant that has expired here has been counted already.
func (h *Home) settle(s *session, report Report) error {
	held := min(report.Held, s.granted)
	unused := max(s.granted-(report.Used-s.used)-held, 0)
	h.outstanding -= s.granted - held
	s.used, s.granted = report.Used, held
	h.level = min(h.level+unused, h.room())
	if s.used-s.usedBefore > s.total+h.slack() {
		return ErrInvariant.New("a daemon has used %g tokens of %g granted", s.used-s.usedBefore, s.total)
	}
	return nil
}

func (h *Home) giveBack(credits []Credit) {
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
	s.total += tokens
	s.expires = now.Add(WithMargin(h.validity))
	if s.granted > 0 && (h.nextExpiry.IsZero() || s.expires.Before(h.nextExpiry)) {
		h.nextExpiry = s.expires
	}
	return Answer{Accepted: true, Tokens: tokens, Level: h.level, Elsewhere: max(h.outstanding-s.granted, 0), Validity: h.validity, Mark: h.mark}
}

// advance refills the pool and ends the grants that have expired, in the order of time.
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
	h.level = min(h.level+elapsed.Seconds()*h.limits.Rate, h.room())
	h.updated = now
	h.refunds.observe(h.deficit())
}

// expire counts what is left of old grants as used, since their holders may have used it.
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
	h.level = min(h.level, h.room())
	h.refunds.reset()
}

func (h *Home) room() float64    { return max(h.limits.Burst-h.outstanding, 0) }
func (h *Home) deficit() float64 { return max(h.limits.Burst-h.outstanding-h.level, 0) }
func (h *Home) slack() float64   { return max(h.limits.Burst, 1) * tolerance }

func (h *Home) check() error {
	if h.level > h.room()+h.slack() || h.level < -h.slack() || h.outstanding < -h.slack() || math.IsNaN(h.level) {
		return ErrInvariant.New("a pool of burst %g holds %g tokens beside grants of %g", h.limits.Burst, h.level, h.outstanding)
	}
	return nil
}
