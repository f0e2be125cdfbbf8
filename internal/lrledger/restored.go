package lrledger

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// maxEraAge is the time since the platform last named its era after which an instance that has sent actions of late reads it. Others may have
// heard all else of the platform from their peers.
const maxEraAge = 500 * time.Millisecond

// RecordEra applies the era that an answer of the platform names. A later one than before means that the platform has come back from an older
// copy, which may lack records of actions that have been sent. An instance that has just started cannot tell how long ago that was. Zero
// means that the platform names none.
func (l *Ledger) RecordEra(now time.Time, era uint64) {
	if era == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.eraReadAt = now
	if era <= l.era {
		return
	}
	l.era = era
	if era == lrplatform.FirstEra {
		return
	}
	l.holdUntil = now.Add(l.options.RestoreHold)
	l.Log.Warn().Uint64("era", era).Dur("hold", l.options.RestoreHold).
		Msg("paid: the platform has come back from an older copy, no action is sent until lost records are written again")
	for n := range l.unconfirmed {
		l.unconfirmed[n].isLost = true
	}
	for nonce, sent := range l.sending {
		sent.isLost = true
		l.sending[nonce] = sent
	}
}

// readEra reads the era if the platform has not named it of late, by the record of an action that may have to be written again.
func (l *Ledger) readEra(ctx context.Context, now time.Time) {
	name := l.recordForEra(now)
	if name == "" {
		return
	}
	object, err := l.Store.Get(ctx, lrplatform.KindPaid, name)
	if err != nil && !lrplatform.ErrNotFound.Has(err) {
		l.Log.Debug().Err(err).Msg("paid: era of the platform not read")
	}
	l.RecordEra(now, object.Era)
}

// recordForEra returns the name of a record by which the era is to be read now, or nothing.
func (l *Ledger) recordForEra(now time.Time) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.era == 0 || now.Sub(l.eraReadAt) < maxEraAge {
		return ""
	}
	for _, sent := range l.sending {
		return sent.name
	}
	if len(l.unconfirmed) > 0 {
		return l.unconfirmed[0].name
	}
	return ""
}

// isHeld reports whether no action may be dispatched, since the record of an earlier attempt may be lost and not written again yet.
func (l *Ledger) isHeld(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.holdUntil)
}
