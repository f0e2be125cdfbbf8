package lrfleet

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// ErrMalformed means that another instance has sent an invalid message. Nothing of the message is applied.
var ErrMalformed = errs.Class("malformed message of an instance, look at the version it runs")

// validate returns what is wrong with the message of another instance, or nil. A NaN or infinite number would spread to every sum that it
// is added to, and the allowances could no longer be enforced.
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
	for _, n := range state.GetNotices() {
		limit := n.GetLimit()
		if math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			return ErrMalformed.New("limit of backend server %q is no number", n.GetServer())
		}
	}
	return nil
}
