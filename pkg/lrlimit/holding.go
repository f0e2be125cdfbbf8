package lrlimit

import "time"

const (
	// maxCredits bounds the credits that wait for the next report.
	maxCredits = 16
	// silenceTime is how long a home that did not answer is left alone.
	silenceTime = time.Second
)

// A Holding is what one daemon holds of one client account from one home. It must be guarded by its owner.
type Holding struct {
	daemon   string
	sequence uint64
	// awaiting tells that the answer to the latest report has not come.
	awaiting bool
	tokens   float64
	used     float64
	// told is the count of used tokens in the latest report.
	told    float64
	expires time.Time
	// level is what the last answer said of the home's pool, and levelAt when.
	level   float64
	levelAt time.Time
	// elsewhere is what the last answer said of the tokens that other daemons hold.
	elsewhere float64
	// silentUntil is when a home that did not answer can be asked again.
	silentUntil time.Time
	fresh       []*Part
	reported    []*Part
	credits     []Credit
}

// NewHolding returns an empty Holding. No two holdings may share a name, also when they belong to one process.
func NewHolding(name string) *Holding { return &Holding{daemon: name} }

// Tokens returns the tokens that can be used now.
func (h *Holding) Tokens(now time.Time) float64 {
	if !now.Before(h.expires) {
		h.tokens = 0
	}
	return h.tokens
}

// Expires returns when the tokens end.
func (h *Holding) Expires() time.Time { return h.expires }

// Untold returns the tokens used since the latest report.
func (h *Holding) Untold() float64 { return h.used - h.told }

// PoolLevel estimates the tokens in the home's pool, which has the given limits.
func (h *Holding) PoolLevel(now time.Time, limits Limits) float64 {
	if h.levelAt.IsZero() {
		return limits.Burst
	}
	return min(h.level+now.Sub(h.levelAt).Seconds()*limits.Rate, limits.Burst)
}

// HasCredits reports whether tokens wait to be given back.
func (h *Holding) HasCredits() bool { return len(h.credits) > 0 }

// Take uses up to the given number of tokens for a request, and returns nil when there are none.
func (h *Holding) Take(now time.Time, tokens float64) *Part {
	tokens = min(tokens, h.Tokens(now))
	if tokens <= 0 {
		return nil
	}
	h.tokens -= tokens
	h.used += tokens
	p := &Part{holding: h, tokens: tokens, expires: h.expires}
	h.fresh = append(h.fresh, p)
	return p
}

// GiveUp empties the holding, so that the next report gives all of it back.
func (h *Holding) GiveUp() { h.tokens = 0 }

// Report begins an exchange with the home. The answer to any earlier report can no longer be accepted.
func (h *Holding) Report(now time.Time, need, want float64) Report {
	h.lose()
	h.sequence++
	h.awaiting = true
	for _, p := range h.fresh {
		p.state = partReported
	}
	h.reported, h.fresh = h.fresh, nil
	report := Report{
		Daemon: h.daemon, Sequence: h.sequence, Used: h.used, Held: h.Tokens(now), Need: need, Want: max(need, want),
		Credits: h.credits,
	}
	h.credits, h.told = nil, h.used
	return report
}

// Accept takes in the answer to the report of the given sequence, which was sent at the given time.
func (h *Holding) Accept(now, sentAt time.Time, sequence uint64, answer Answer) {
	if sequence != h.sequence || !h.awaiting || !answer.Accepted {
		return
	}
	h.awaiting = false
	h.silentUntil = time.Time{}
	h.tokens = h.Tokens(now) + answer.Tokens
	h.expires = sentAt.Add(answer.Validity)
	h.level, h.levelAt, h.elsewhere = answer.Level, now, answer.Elsewhere
	for _, p := range h.reported {
		p.state, p.mark = partMarked, answer.Mark
		h.credit(p.pending, p.mark)
	}
	h.reported = nil
}

// Fail notes that there was no answer to the report of the given sequence.
func (h *Holding) Fail(now time.Time, sequence uint64) {
	if sequence == h.sequence && h.awaiting {
		h.silentUntil = now.Add(silenceTime)
	}
}

// IsSilent reports whether the home did not answer a moment ago.
func (h *Holding) IsSilent(now time.Time) bool { return now.Before(h.silentUntil) }

// HasFailed reports whether the home did not answer when it was last asked.
func (h *Holding) HasFailed() bool { return !h.silentUntil.IsZero() }

// lose gives up what was reported in an exchange without an answer: it can't be told when the home learned of it.
func (h *Holding) lose() {
	for _, p := range h.reported {
		p.state = partLost
	}
	h.reported = nil
}

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

type partState int

const (
	partFresh partState = iota
	partReported
	partMarked
	partLost
)

// A Part is what a request uses of one Holding.
type Part struct {
	holding *Holding
	tokens  float64
	expires time.Time
	state   partState
	mark    uint64
	pending float64
}

// Tokens returns the tokens of the part.
func (p *Part) Tokens() float64 { return p.tokens }

// Expires returns when the grant behind the part ends, or ended.
func (p *Part) Expires() time.Time { return p.expires }

// Return gives back tokens that were not used. It must be called once at most.
func (p *Part) Return(now time.Time, tokens float64) {
	tokens = min(tokens, p.tokens)
	h := p.holding
	switch p.state {
	case partFresh:
		if now.Before(p.expires) {
			h.tokens += tokens
			h.used -= tokens
		}
	case partReported:
		p.pending = tokens
	case partMarked:
		h.credit(tokens, p.mark)
	case partLost:
	}
}
