package lrmodel

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// oracle is a placer with exact, immediate knowledge of the queue and the cache of every engine.
// It is the reference that other policies are compared with.
type oracle struct{ fleet *Fleet }

// NewOracle returns a placer that reads the state of the fleet's engines directly.
func NewOracle(fleet *Fleet) lrroute.Placer { return &oracle{fleet: fleet} }

// SetEngines has no effect, because the oracle reads the engines directly.
func (o *oracle) SetEngines(time.Time, string, []lrroute.Engine) {}

// Learn has no effect, because the oracle reads the engines directly.
func (o *oracle) Learn(time.Time, lrroute.Feedback) {}

// Finish has no effect, because the oracle reads the engines directly.
func (o *oracle) Finish(time.Time, string, lrroute.Request) {}

// Place returns the engine with the earliest first token.
func (o *oracle) Place(now time.Time, request lrroute.Request) (lrroute.Placement, bool) {
	var best *Engine
	var bestWait time.Duration
	bestCached := 0
	for _, e := range o.fleet.engines {
		if e.down {
			continue
		}
		cached := e.match(request.Chain) * lrprefix.BlockTokens
		wait := e.queueWait(now) + o.fleet.setup.Costs.serviceTime(request.Tokens-cached)
		if best == nil || wait < bestWait {
			best, bestWait, bestCached = e, wait, cached
		}
	}
	if best == nil {
		return lrroute.Placement{}, false
	}
	return lrroute.Placement{Engine: best.name, ExpectedWait: bestWait, ExpectedCachedTokens: bestCached}, true
}
