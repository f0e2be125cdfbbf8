package lrfleet

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// encodeSuspicions adds the suspicions of backend servers, and the responses that contradict them, to the state.
func encodeSuspicions(state *lrpeerpb.FleetState, updates []lrretry.SuspicionUpdate) {
	for _, u := range updates {
		state.Suspicions = append(state.Suspicions, &lrpeerpb.SuspicionNote{
			Server: u.Server, Incarnation: u.Incarnation, AgeMillis: uint32(u.SuspectedAge.Milliseconds()),
			TrialAgeMillis: uint32(u.TrialAge.Milliseconds() + 1),
		})
		if u.ResponseAge >= 0 {
			state.Responses = append(state.Responses, &lrpeerpb.ResponseNote{
				Server: u.Server, Incarnation: u.Incarnation, AgeMillis: uint32(u.ResponseAge.Milliseconds()),
			})
		}
	}
}

// decodeSuspicions returns the suspicions and responses in the state. A negative age means that the state says nothing of it.
func decodeSuspicions(state *lrpeerpb.FleetState) []lrretry.SuspicionUpdate {
	updates := make([]lrretry.SuspicionUpdate, 0, len(state.GetSuspicions())+len(state.GetResponses()))
	for _, n := range state.GetResponses() {
		updates = append(updates, lrretry.SuspicionUpdate{
			Server: n.GetServer(), Incarnation: n.GetIncarnation(), SuspectedAge: -1, TrialAge: -1, ResponseAge: millis(n.GetAgeMillis()),
		})
	}
	for _, n := range state.GetSuspicions() {
		u := lrretry.SuspicionUpdate{
			Server: n.GetServer(), Incarnation: n.GetIncarnation(), SuspectedAge: millis(n.GetAgeMillis()), TrialAge: -1, ResponseAge: -1,
		}
		if n.GetTrialAgeMillis() > 0 {
			u.TrialAge = millis(n.GetTrialAgeMillis() - 1)
		}
		updates = append(updates, u)
	}
	return updates
}
