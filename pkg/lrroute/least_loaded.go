package lrroute

import (
	"slices"
	"sync"
	"time"
)

// leastLoaded chooses by queued work alone.
type leastLoaded struct {
	mutex   sync.Mutex
	engines map[string][]Engine
	// inFlight is the number of prompt tokens of unfinished requests, by engine.
	inFlight map[string]int
}

// NewLeastLoadedPlacer returns a Placer that chooses the engine with the least queued work and ignores caches.
func NewLeastLoadedPlacer() Placer {
	return &leastLoaded{engines: map[string][]Engine{}, inFlight: map[string]int{}}
}

func (l *leastLoaded) SetEngines(_ time.Time, model string, engines []Engine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.engines[model] = slices.Clone(engines)
}

func (l *leastLoaded) Place(_ time.Time, request Request) (Placement, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	best, found := Engine{}, false
	for _, e := range l.engines[request.Scope.Model] {
		if slices.Contains(request.Excluded, e.Name) {
			continue
		}
		if !found || l.work(e) < l.work(best) {
			best, found = e, true
		}
	}
	if !found {
		return Placement{}, false
	}
	l.inFlight[best.Name] += request.Tokens
	return Placement{
		Engine: best.Name, Reason: "least loaded", Candidates: len(l.engines[request.Scope.Model]),
	}, true
}

func (l *leastLoaded) Learn(time.Time, Feedback) {}

func (l *leastLoaded) Finish(_ time.Time, engine string, request Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight[engine] -= request.Tokens
	if l.inFlight[engine] <= 0 {
		delete(l.inFlight, engine)
	}
}

func (l *leastLoaded) work(e Engine) int {
	return e.QueuedTokens + l.inFlight[e.Name]
}
