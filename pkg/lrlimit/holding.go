package lrlimit

import "time"

const (
	// maxCredits bounds the credits that wait for the next report.
	maxCredits = 16
	// unreachableBackoff is how long a home that did not answer is not asked again.
	unreachableBackoff = time.Second
)

// A Holding is what one instance holds of one client account from one home. It is not safe for use by several goroutines.
type Holding struct {
	name     string
	sequence uint64
	// awaitsAnswer is set until the answer to the latest report arrives.
	awaitsAnswer bool
	tokens       float64
	used         float64
	// reportedUsed is the count of used tokens in the latest report.
	reportedUsed float64
	expires      time.Time
	// level is the level of the home's pool in the last answer, which arrived at levelAt.
	level   float64
	levelAt time.Time
	// heldElsewhere is the number of tokens that other instances hold, according to the last answer.
	heldElsewhere float64
	// unreachableUntil is when a home that did not answer can be asked again.
	unreachableUntil time.Time
	// unreported and reported are the debits that no report has included yet, and those in the report that awaits its
	// answer.
	unreported []*Debit
	reported   []*Debit
	credits    []Credit
}

// NewHolding returns an empty Holding. No two holdings may share a name, even within one instance.
func NewHolding(name string) *Holding { return &Holding{name: name} }

// Tokens returns the tokens that can be used now.
func (h *Holding) Tokens(now time.Time) float64 {
	if !now.Before(h.expires) {
		h.tokens = 0
	}
	return h.tokens
}

// Expires returns when the held tokens expire.
func (h *Holding) Expires() time.Time { return h.expires }

// Unreported returns the tokens used since the latest report.
func (h *Holding) Unreported() float64 { return h.used - h.reportedUsed }

// PoolLevel estimates the tokens in the home's pool, which has the given limits.
func (h *Holding) PoolLevel(now time.Time, limits Limits) float64 {
	if h.levelAt.IsZero() {
		return limits.Burst
	}
	return min(h.level+now.Sub(h.levelAt).Seconds()*limits.Rate, limits.Burst)
}

// HasCredits reports whether credits wait to be sent.
func (h *Holding) HasCredits() bool { return len(h.credits) > 0 }

// Take takes up to the given number of tokens for a request, and returns nil when there are none.
func (h *Holding) Take(now time.Time, tokens float64) *Debit {
	tokens = min(tokens, h.Tokens(now))
	if tokens <= 0 {
		return nil
	}
	h.tokens -= tokens
	h.used += tokens
	p := &Debit{holding: h, tokens: tokens, expires: h.expires}
	h.unreported = append(h.unreported, p)
	return p
}

// Release empties the holding, so that the next report releases all of its tokens.
func (h *Holding) Release() { h.tokens = 0 }

// Report begins an exchange with the home. The answer to any earlier report can no longer be accepted.
func (h *Holding) Report(now time.Time, need, want float64) Report {
	h.dropUnconfirmed()
	h.sequence++
	h.awaitsAnswer = true
	for _, p := range h.unreported {
		p.state = debitReported
	}
	h.reported, h.unreported = h.unreported, nil
	report := Report{
		Session: h.name, Sequence: h.sequence, Used: h.used, Held: h.Tokens(now), Need: need, Want: max(need, want),
		Credits: h.credits,
	}
	h.credits, h.reportedUsed = nil, h.used
	return report
}

// Accept applies the answer to the report of the given sequence, which was sent at the given time.
func (h *Holding) Accept(now, sentAt time.Time, sequence uint64, answer Answer) {
	if sequence != h.sequence || !h.awaitsAnswer || !answer.Accepted {
		return
	}
	h.awaitsAnswer = false
	h.unreachableUntil = time.Time{}
	h.tokens = h.Tokens(now) + answer.Tokens
	h.expires = sentAt.Add(answer.Validity)
	h.level, h.levelAt, h.heldElsewhere = answer.Level, now, answer.HeldElsewhere
	for _, p := range h.reported {
		p.state, p.mark = debitConfirmed, answer.Mark
		h.credit(p.pending, p.mark)
	}
	h.reported = nil
}

// RecordNoAnswer records that there was no answer to the report of the given sequence.
func (h *Holding) RecordNoAnswer(now time.Time, sequence uint64) {
	if sequence == h.sequence && h.awaitsAnswer {
		h.unreachableUntil = now.Add(unreachableBackoff)
	}
}

// IsUnreachable reports whether the home recently failed to answer.
func (h *Holding) IsUnreachable(now time.Time) bool { return now.Before(h.unreachableUntil) }

// HasFailed reports whether the home did not answer the last report.
func (h *Holding) HasFailed() bool { return !h.unreachableUntil.IsZero() }

// dropUnconfirmed makes the debits of an unanswered report not refundable, since it is unknown when the home received the
// report.
func (h *Holding) dropUnconfirmed() {
	for _, p := range h.reported {
		p.state = debitNotRefundable
	}
	h.reported = nil
}

// credit adds a refund to the next report. When the list is full, it is merged into the last credit under the earlier mark,
// which refunds no more than separate credits would.
func (h *Holding) credit(tokens float64, mark uint64) {
	if tokens <= 0 {
		return
	}
	last := len(h.credits) - 1
	switch {
	case last >= 0 && (h.credits[last].Mark == mark || last >= maxCredits-1):
		h.credits[last].Tokens += tokens
		h.credits[last].Mark = min(h.credits[last].Mark, mark)
	default:
		h.credits = append(h.credits, Credit{Tokens: tokens, Mark: mark})
	}
}

// debitState is how far the use of the tokens has been reported to the home.
type debitState int

const (
	debitUnreported debitState = iota
	debitReported
	debitConfirmed
	debitNotRefundable
)

// A Debit is the tokens that a request has taken from one Holding.
type Debit struct {
	holding *Holding
	tokens  float64
	expires time.Time
	state   debitState
	mark    uint64
	// pending are tokens returned before the answer to their report. They are credited when it arrives.
	pending float64
}

// Tokens returns the number of tokens taken.
func (p *Debit) Tokens() float64 { return p.tokens }

// Expires returns when the grant of the tokens ends or ended.
func (p *Debit) Expires() time.Time { return p.expires }

// Return refunds the tokens that were not used. It must be called at most once.
func (p *Debit) Return(now time.Time, tokens float64) {
	tokens = min(tokens, p.tokens)
	h := p.holding
	switch p.state {
	case debitUnreported:
		if now.Before(p.expires) {
			h.tokens += tokens
			h.used -= tokens
		}
	case debitReported:
		p.pending = tokens
	case debitConfirmed:
		h.credit(tokens, p.mark)
	case debitNotRefundable:
	}
}
