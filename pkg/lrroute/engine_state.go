package lrroute

import (
	"time"
)

const (
	deadIncarnations = 4
	// roomStep is how far the estimate of an engine's room moves towards what an answer showed.
	roomStep = 0.25
	minRoom  = 1
)

// flight is one request that this instance has placed and that has not finished.
type flight struct {
	engine uint16
	tokens int
	// ahead is the work that was believed to wait on the engine, in tokens.
	ahead  int
	sentAt time.Time
	// remembered is the number of leading pieces that the engine once held, and age what it has stored since then.
	remembered int
	age        uint32
	// held and assumed are the numbers of leading pieces that were believed and assumed to be held.
	held    int
	assumed int
	// wanted is the number of pieces to be imported.
	wanted int
	// unknown is the number of pieces of which nothing was known, when the engine was the one that hashing chose.
	unknown int
	first   bool
}

// engineState is what is known of one engine beyond its description.
type engineState struct {
	Engine
	usable     bool
	generation uint16
	dead       [deadIncarnations]string
	nextDead   int
	// busyUntil estimates when the engine has done the work that was reported and the work sent after that report.
	busyUntil time.Time
	// stored counts the pieces that the engine is known to have stored.
	stored uint32
	// room estimates how many pieces the engine stores before it evicts one that it does not use.
	room   float64
	models int
}

// meet takes in the incarnation that an engine showed. It reports false when that one is known to be over.
func (e *engineState) meet(incarnation string) bool {
	switch incarnation {
	case "", e.Incarnation:
		return true
	}
	for _, d := range e.dead {
		if d == incarnation {
			return false
		}
	}
	if e.Incarnation != "" {
		e.dead[e.nextDead] = e.Incarnation
		e.nextDead = (e.nextDead + 1) % deadIncarnations
		e.generation++
		e.QueuedTokens, e.busyUntil = 0, time.Time{}
	}
	e.Incarnation = incarnation
	return true
}

// report takes in a newer report of the load.
func (e *engineState) report(queued int, at time.Time) {
	if at.After(e.ReportedAt) {
		e.QueuedTokens, e.ReportedAt = queued, at
	}
}

// send adds work to the engine's queue.
func (e *engineState) send(now time.Time, work time.Duration) {
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(work)
}

// queueWait estimates how long a request that is sent now waits for the work ahead of it.
func (e *engineState) queueWait(now time.Time) time.Duration {
	return max(0, e.busyUntil.Sub(now))
}

// judge moves the estimate of the room towards what an answer showed to be held.
func (e *engineState) judge(f flight, cached int) {
	age := float64(f.age)
	switch {
	case f.remembered == 0:
	case cached >= f.remembered && age > e.room, cached < f.remembered && age < e.room:
		e.room = max(minRoom, e.room+roomStep*(age-e.room))
	}
}
