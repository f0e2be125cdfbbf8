package lrfleet

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// encodeResponses adds the suspicions and doubts of backend servers, and the responses that contradict them, to the state.
func encodeResponses(state *lrpeerpb.FleetState, report lrretry.Report) {
	for _, u := range report.Suspicions {
		state.Suspicions = append(state.Suspicions, &lrpeerpb.SuspicionNote{
			Server: u.Server, Incarnation: u.Incarnation, AgeMillis: encodeAge(u.SuspectedAge), TrialAgeMillis: encodeAge(u.TrialAge),
			DoubtAgeMillis: encodeAge(u.DoubtAge),
		})
	}
	if len(report.Responses) == 0 {
		return
	}
	state.Responses = &lrpeerpb.ResponseReport{}
	for _, u := range report.Responses {
		state.Responses.Servers = append(state.Responses.Servers, u.Key)
		state.Responses.AgeMillis = append(state.Responses.AgeMillis, uint32(u.Age.Milliseconds()))
	}
}

// decodeResponses returns the suspicions, doubts and responses in the state. Responses without an age are left out.
func decodeResponses(state *lrpeerpb.FleetState) lrretry.Report {
	var report lrretry.Report
	for _, n := range state.GetSuspicions() {
		report.Suspicions = append(report.Suspicions, lrretry.SuspicionUpdate{
			Server: n.GetServer(), Incarnation: n.GetIncarnation(), SuspectedAge: decodeAge(n.GetAgeMillis()),
			DoubtAge: decodeAge(n.GetDoubtAgeMillis()), TrialAge: decodeAge(n.GetTrialAgeMillis()),
		})
	}
	ages := state.GetResponses().GetAgeMillis()
	for n, key := range state.GetResponses().GetServers()[:min(len(ages), len(state.GetResponses().GetServers()))] {
		report.Responses = append(report.Responses, lrretry.ResponseUpdate{Key: key, Age: millis(ages[n])})
	}
	return report
}

// encodeAge encodes the age of what may never have happened, which is negative then.
func encodeAge(age time.Duration) uint32 {
	if age < 0 {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

func decodeAge(wire uint32) time.Duration {
	if wire == 0 {
		return -1
	}
	return millis(wire - 1)
}
