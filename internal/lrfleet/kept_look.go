package lrfleet

import (
	"slices"
	"time"
)

const (
	// maxResidency bounds how long a part is taken to be kept.
	maxResidency = 10 * time.Minute
	// sureShare is the part of its capacity that a store is taken to fill before it drops the least recently used part.
	sureShare = 0.85
	// inflowRoom is the number of looks of which the inflow is remembered. The oldest ones are joined.
	inflowRoom = 256
	// firstResidency is how long a store that already holds something is taken to keep parts, where nobody tells.
	firstResidency = 6 * time.Second
)

// keptLook is where the looks of this instance at one kept store stand. It never changes.
type keptLook struct {
	epoch int64
	next  uint64
	// base is how long the store kept parts when the looks began, and since is when that was.
	base  time.Duration
	since time.Time
	// inflow is what has come in, oldest first, as far back as the store holds it.
	inflow []keptInflow
	// held are the tokens of the inflow.
	held int
}

// keptInflow are the tokens that came in until a look.
type keptInflow struct {
	at     time.Time
	tokens int
}

// withSign returns the look after a further sign of life. What is known of the residency from other instances counts when looks begin.
func (l keptLook) withSign(now time.Time, capacity int, sign KeptSign, known time.Duration) keptLook {
	if l.since.IsZero() || l.epoch != sign.Epoch {
		return keptLook{epoch: sign.Epoch, next: sign.Next, since: now, base: firstBase(sign, known)}
	}
	l.next = sign.Next
	if sign.Added == 0 {
		return l
	}
	inflow := append(slices.Clone(l.inflow), keptInflow{at: now, tokens: sign.Added})
	l.held += sign.Added
	for len(inflow) > 1 && l.held-inflow[0].tokens >= capacity {
		l.held -= inflow[0].tokens
		inflow = inflow[1:]
	}
	if len(inflow) > inflowRoom {
		inflow[1].tokens += inflow[0].tokens
		inflow = inflow[1:]
	}
	l.inflow = inflow
	return l
}

func firstBase(sign KeptSign, known time.Duration) time.Duration {
	switch {
	case sign.Added == 0 && !sign.HasGap:
		return maxResidency
	case known > 0:
		return known
	default:
		return firstResidency
	}
}

// residency returns how long a store of the capacity keeps a part that nobody uses, or zero where that is not known. The least recently
// used part goes when as much as the store holds has come in after it.
func (l keptLook) residency(now time.Time, capacity int) time.Duration {
	switch {
	case capacity <= 0 || l.since.IsZero():
		return 0
	case l.held >= capacity:
		return max(now.Sub(l.inflow[0].at), time.Millisecond)
	default:
		return min(l.base+now.Sub(l.since), maxResidency)
	}
}
