package lrqueue

import (
	"time"
)

const (
	// shareWindow is the time constant of the load that an account brings. It is that of the completed work, with which it is compared.
	shareWindow = rateWindow
	// maxAccounts bounds the accounts of one service whose load is counted. The load of further ones is not known until others have gone.
	maxAccounts = 256
	// levelInterval is the time for which a fair level is used, and the shortest one between two times at which accounts are dropped.
	levelInterval = 250 * time.Millisecond
	// levelRounds bounds the rounds in which a fair level is computed.
	levelRounds = 8
	// forgottenShare is the part of the mean load below which an account is dropped when there are too many.
	forgottenShare = 0.3
	// overShare is the multiple of the fair level above which an account counts as far above its share. The load of an account is counted on one
	// instance, where it varies with chance.
	overShare = 2
	// leastShareCount is the number of requests from which on the load of an account is known well enough.
	leastShareCount = 8
)

// accountLoads counts the load that each account brings to one service.
type accountLoads struct {
	loads map[string]*accountLoad
	// forgotten is when accounts were dropped last.
	forgotten time.Time
}

// accountLoad is the load of one account: all of it, and that of each urgency.
type accountLoad struct {
	work    decayed
	classes map[int]*decayed
	all     servedPart
}

func newAccountLoads() *accountLoads { return &accountLoads{loads: map[string]*accountLoad{}} }

// add counts the work of a request.
func (l *accountLoads) add(now time.Time, account string, urgency int, work float64) {
	load, ok := l.loads[account]
	if !ok {
		if len(l.loads) >= maxAccounts && now.Sub(l.forgotten) >= levelInterval {
			l.forget(now)
		}
		if len(l.loads) >= maxAccounts {
			return
		}
		load = &accountLoad{classes: map[int]*decayed{}}
		l.loads[account] = load
	}
	load.work.add(now, shareWindow, work)
	boundedGet(load.classes, urgency, maxClasses, func() *decayed { return &decayed{} }).add(now, shareWindow, work)
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

// fairLevel is the load up to which each account is served.
type fairLevel struct {
	work float64
	// over are the accounts far above their share.
	over []*accountLoad
	at   time.Time
}

// refresh computes the level at which the accounts together bring as much work as the servers complete.
func (f *fairLevel) refresh(now time.Time, l *accountLoads, completed float64) {
	if now.Sub(f.at) < levelInterval && !f.at.IsZero() {
		return
	}
	f.at, f.work, f.over = now, l.level(now, completed), f.over[:0]
	for _, load := range l.loads {
		if load.isOver(now, f.work) {
			f.over = append(f.over, load)
		}
	}
}

// excess returns the work of the urgency that the accounts far above their share bring beyond it.
func (f *fairLevel) excess(now time.Time, urgency int) float64 {
	excess := 0.0
	for _, load := range f.over {
		keep, _ := load.keep(now, urgency, f.work)
		excess += (1 - keep) * load.class(now, urgency)
	}
	return excess
}

// isOver reports whether the account is far above the level.
func (l *accountLoad) isOver(now time.Time, level float64) bool {
	// The sum before its decay is an upper bound, which spares most accounts the computation.
	if level <= 0 || l.work.sum <= overShare*level || l.work.value(now, shareWindow) <= overShare*level {
		return false
	}
	return l.all.offered.value(now, servedWindow) >= leastShareCount
}

// class returns the load of the urgency.
func (l *accountLoad) class(now time.Time, urgency int) float64 {
	work, ok := l.classes[urgency]
	if !ok {
		return 0
	}
	return work.value(now, shareWindow)
}

// keep returns the part of the account's requests of the urgency that is kept if the account is far above the level. It is kept as far as the
// level goes, the more urgent requests first.
func (l *accountLoad) keep(now time.Time, urgency int, level float64) (float64, bool) {
	if !l.isOver(now, level) {
		return 1, false
	}
	ahead, own := 0.0, 0.0
	for other, work := range l.classes {
		switch {
		case other < urgency:
			ahead += work.value(now, shareWindow)
		case other == urgency:
			own = work.value(now, shareWindow)
		}
	}
	if own <= 0 {
		return 1, false
	}
	return min(max((level-ahead)/own, 0), 1), true
}

// level returns the load up to which the accounts are served so that they bring the given work together.
func (l *accountLoads) level(now time.Time, completed float64) float64 {
	works := make([]float64, 0, len(l.loads))
	total := 0.0
	for _, load := range l.loads {
		work := load.work.value(now, shareWindow)
		works = append(works, work)
		total += work
	}
	if total <= completed {
		return total
	}
	level := 0.0
	for range levelRounds {
		kept, above := completed, 0
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
