package lrfleet

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// ErrMalformed means that an instance has told something that cannot be. Nothing of it is taken in.
var ErrMalformed = errs.Class("malformed message of an instance, look at the version it runs")

// validate returns what is wrong with the message of another instance, or nil. A sum that is no number would stay in every sum that it is
// added to, and no allowance would hold any more.
func validate(state *lrpeerpb.FleetState) error {
	if state.GetName() == "" || state.GetZone() == "" {
		return ErrMalformed.New("it has no name or no availability zone")
	}
	for what, sums := range map[string]map[string]float64{"used": state.GetUsed(), "levels": state.GetLevels()} {
		for account, tokens := range sums {
			if math.IsNaN(tokens) || math.IsInf(tokens, 0) {
				return ErrMalformed.New("%s of account %q is no number", what, account)
			}
		}
	}
	return nil
}
