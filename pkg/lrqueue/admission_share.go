package lrqueue

import (
	"time"
)

const (
	// shareWindow is the time constant of the load that an account brings.
	shareWindow = 2 * time.Second
	// maxAccounts bounds the accounts of one service whose load is counted. The load of further ones is not known until others have gone.
	maxAccounts = 256
	// levelInterval is the time for which a fair level is used, and the shortest one between two times at which accounts are dropped.
	levelInterval = 100 * time.Millisecond
	// levelRounds bounds the rounds in which a fair level is computed.
	levelRounds = 8
	// forgottenShare is the part of the mean load below which an account is dropped when there are too many.
	forgottenShare = 0.3
)

// accountLoads counts the load that each account brings to one service.
type accountLoads struct {
	loads map[string]*accountLoad
	// forgotten is when accounts were dropped last.
	forgotten time.Time
}

type accountLoad struct {
	work decayed
	all  servedPart
}

func newAccountLoads() *accountLoads { return &accountLoads{loads: map[string]*accountLoad{}} }

// add counts the work of a request.
func (l *accountLoads) add(now time.Time, account string, work float64) {
	load, ok := l.loads[account]
	if !ok {
		if len(l.loads) >= maxAccounts && now.Sub(l.forgotten) >= levelInterval {
			l.forget(now)
		}
		if len(l.loads) >= maxAccounts {
			return
		}
		load = &accountLoad{}
		l.loads[account] = load
	}
	load.work.add(now, shareWindow, work)
}

// served counts a decision.
func (l *accountLoads) served(now time.Time, account string, isServed bool) {
	load, ok := l.loads[account]
	if ok {
		load.all.add(now, isServed)
	}
}

// forget drops the accounts that bring hardly any load now.
func (l *accountLoads) forget(now time.Time) {
	l.forgotten = now
	total := 0.0
	for _, load := range l.loads {
		load.work.add(now, shareWindow, 0)
		total += load.work.sum
	}
	least := forgottenShare * total / float64(len(l.loads))
	for name, load := range l.loads {
		if load.work.sum < least {
			delete(l.loads, name)
		}
	}
}

// fairLevel is the load up to which each account is served when a part of all load has to be refused.
type fairLevel struct {
	work float64
	at   time.Time
}

// keep returns the part of the account's requests that is kept when the given part of all load is refused: all for an account below the fair
// level, otherwise so much that the fair level remains.
func (l *accountLoads) keep(now time.Time, account string, level *fairLevel, part float64) float64 {
	load, ok := l.loads[account]
	if part <= 0 || !ok {
		return 1 - part
	}
	if now.Sub(level.at) >= levelInterval || level.at.IsZero() {
		level.work, level.at = l.level(now, part), now
	}
	own := load.work.value(now, shareWindow)
	if own <= level.work {
		return 1
	}
	return level.work / own
}

// level returns the load up to which the accounts are served so that the part of all load is refused.
func (l *accountLoads) level(now time.Time, part float64) float64 {
	works := make([]float64, 0, len(l.loads))
	total := 0.0
	for _, load := range l.loads {
		work := load.work.value(now, shareWindow)
		works = append(works, work)
		total += work
	}
	level := 0.0
	for range levelRounds {
		kept, above := (1-part)*total, 0
		for _, work := range works {
			if work <= level {
				kept -= work
			} else {
				above++
			}
		}
		if above == 0 || kept <= level*float64(above) {
			return level
		}
		level = kept / float64(above)
	}
	return level
}
