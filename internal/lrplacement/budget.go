package lrplacement

import "time"

// budget is a token bucket that limits the bytes sent a second.
type budget struct {
	perSecond float64
	left      float64
	updated   time.Time
}

// allowed returns the bytes that may be sent now. The bucket holds at most the bytes of one second.
func (b *budget) allowed(now time.Time) float64 {
	gained := b.perSecond
	if !b.updated.IsZero() {
		gained *= now.Sub(b.updated).Seconds()
	}
	b.updated = now
	b.left = min(b.left+gained, b.perSecond)
	return b.left
}

func (b *budget) spend(bytes int) { b.left -= float64(bytes) }
