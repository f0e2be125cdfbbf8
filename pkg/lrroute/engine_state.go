package lrroute

import (
	"time"
)

const (
	// pastIncarnationLimit is the number of past incarnations that are remembered for an engine.
	pastIncarnationLimit = 4
	// capacityStep is the fraction by which the capacity estimate of an engine moves towards a new sample.
	capacityStep = 0.25
	// minCapacityBlocks is the lower bound of the capacity estimate.
	minCapacityBlocks = 1
)

// inFlightRequest is a request that this instance has placed and that has not finished. Its blocks are leading blocks of the prompt.
type inFlightRequest struct {
	engine uint16
	// tokens is the number of prompt tokens that the engine was estimated to have to compute.
	tokens int
	// queuedTokens is the work that was estimated to be queued at the engine, in tokens.
	queuedTokens int
	sentAt       time.Time
	// recorded is the number of blocks that the engine once held, and storedSince the number of blocks that it had stored since then.
	recorded    int
	storedSince uint32
	// estimated and assumed are those of the candidate.
	estimated int
	assumed   int
	// toImport is the number of blocks that the engine was to import.
	toImport int
	// unknown is the number of blocks that were neither estimated nor assumed to be cached. It is set only for the home engine.
	unknown int
	// firstTokenSeen is set when the first token has arrived.
	firstTokenSeen bool
}

// engineState extends the description of an engine by what is derived from reports, placements and responses.
type engineState struct {
	Engine
	usable bool
	// generation stands for the incarnation. It changes with every restart.
	generation uint16
	// pastIncarnations is a ring buffer of the incarnations that have ended, and nextPast its next position.
	pastIncarnations [pastIncarnationLimit]string
	nextPast         int
	// busyUntil estimates when the engine will have done the work that was reported and the work sent after that report.
	busyUntil time.Time
	// stored counts the blocks that the engine is known to have stored.
	stored uint32
	// capacityBlocks estimates how many blocks the engine stores before it evicts one that it does not use.
	capacityBlocks float64
	// modelCount is the number of models that list the engine.
	modelCount int
}

// observeIncarnation applies the incarnation that a message of or about the engine carries. It reports false when that incarnation is
// known to have ended. An empty incarnation is accepted and changes nothing.
func (e *engineState) observeIncarnation(incarnation string) bool {
	switch incarnation {
	case "", e.Incarnation:
		return true
	}
	for _, d := range e.pastIncarnations {
		if d == incarnation {
			return false
		}
	}
	if e.Incarnation != "" {
		e.pastIncarnations[e.nextPast] = e.Incarnation
		e.nextPast = (e.nextPast + 1) % pastIncarnationLimit
		e.generation++
		e.QueuedTokens, e.busyUntil = 0, time.Time{}
	}
	e.Incarnation = incarnation
	return true
}

// applyLoadReport applies a report of the queued prefill work, in tokens, if it is newer than the last one.
func (e *engineState) applyLoadReport(queued int, at time.Time) {
	if at.After(e.ReportedAt) {
		e.QueuedTokens, e.ReportedAt = queued, at
	}
}

// enqueue adds work to the estimated queue of the engine.
func (e *engineState) enqueue(now time.Time, work time.Duration) {
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(work)
}

// queueWait estimates how long a request that is sent now waits in the queue of the engine.
func (e *engineState) queueWait(now time.Time) time.Duration {
	return max(0, e.busyUntil.Sub(now))
}

// adjustCapacity moves the capacity estimate towards the number of blocks stored since the engine held the recorded ones, when the cached
// blocks of the response contradict the estimate.
func (e *engineState) adjustCapacity(f inFlightRequest, cached int) {
	storedSince := float64(f.storedSince)
	switch {
	case f.recorded == 0:
	case cached >= f.recorded && storedSince > e.capacityBlocks, cached < f.recorded && storedSince < e.capacityBlocks:
		e.capacityBlocks = max(minCapacityBlocks, e.capacityBlocks+capacityStep*(storedSince-e.capacityBlocks))
	}
}
