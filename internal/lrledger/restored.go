package lrledger

import "time"

// firstEra is the era of a platform that has never come back from a copy.
const firstEra = 1

// RecordEra applies the era that an answer of the platform names. A later one than before means that the platform has come back from an older
// copy, which may lack records of actions that have been sent. An instance that has just started cannot tell how long ago that was. Zero
// means that the platform names none.
func (l *Ledger) RecordEra(now time.Time, era uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if era <= l.era {
		return
	}
	l.era = era
	if era == firstEra {
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

// isHeld reports whether no action may be dispatched, since the record of an earlier attempt may be lost and not written again yet.
func (l *Ledger) isHeld(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.holdUntil)
}
