package lrplacement

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

func newShareRequest(notes []lrroute.Note, notices []lrregistry.Notice, holdings []lrroute.Holding) *lrpeerpb.ShareRequest {
	request := &lrpeerpb.ShareRequest{}
	for _, n := range notes {
		request.Placements = append(request.Placements, &lrpeerpb.PlacementNote{
			Engine: n.Engine, Incarnation: n.Incarnation, Model: n.Model, Chain: joinChain(n.Chain),
			Tokens: uint32(n.Tokens), Missing: uint32(n.Missing), AgeMillis: uint32(n.Age.Milliseconds()),
		})
	}
	for _, n := range notices {
		request.Loads = append(request.Loads, &lrpeerpb.LoadNote{
			Name: n.Name, Incarnation: n.Incarnation, QueuedTokens: uint32(n.QueuedTokens), Running: uint32(n.Running),
			Leaving: n.Leaving, Unreachable: n.Unreachable, AgeMillis: uint32(n.Age.Milliseconds()), Versions: n.Versions,
		})
	}
	for _, h := range holdings {
		request.Holdings = append(request.Holdings, &lrpeerpb.HoldingNote{
			Engine: h.Engine, Incarnation: h.Incarnation, Stored: joinChain(h.Stored), Evicted: joinChain(h.Evicted),
		})
	}
	return request
}

func holdingsOf(request *lrpeerpb.ShareRequest) []lrroute.Holding {
	holdings := make([]lrroute.Holding, 0, len(request.GetHoldings()))
	for _, h := range request.GetHoldings() {
		holdings = append(holdings, lrroute.Holding{
			Engine: h.GetEngine(), Incarnation: h.GetIncarnation(),
			Stored: splitChain(h.GetStored()), Evicted: splitChain(h.GetEvicted()),
		})
	}
	return holdings
}

func notesOf(request *lrpeerpb.ShareRequest) []lrroute.Note {
	notes := make([]lrroute.Note, 0, len(request.GetPlacements()))
	for _, p := range request.GetPlacements() {
		notes = append(notes, lrroute.Note{
			Engine: p.GetEngine(), Incarnation: p.GetIncarnation(), Model: p.GetModel(), Chain: splitChain(p.GetChain()),
			Tokens: int(p.GetTokens()), Missing: int(p.GetMissing()), Age: time.Duration(p.GetAgeMillis()) * time.Millisecond,
		})
	}
	return notes
}

func noticesOf(request *lrpeerpb.ShareRequest) []lrregistry.Notice {
	notices := make([]lrregistry.Notice, 0, len(request.GetLoads()))
	for _, l := range request.GetLoads() {
		notices = append(notices, lrregistry.Notice{
			Name: l.GetName(), Incarnation: l.GetIncarnation(), QueuedTokens: int(l.GetQueuedTokens()),
			Running: int(l.GetRunning()), Leaving: l.GetLeaving(), Unreachable: l.GetUnreachable(),
			Age: time.Duration(l.GetAgeMillis()) * time.Millisecond, Versions: l.GetVersions(),
		})
	}
	return notices
}

func joinChain(chain []lrprefix.ID) []byte {
	joined := make([]byte, 0, len(chain)*lrprefix.IDBytes)
	for _, id := range chain {
		joined = append(joined, id[:]...)
	}
	return joined
}

func splitChain(joined []byte) []lrprefix.ID {
	chain := make([]lrprefix.ID, len(joined)/lrprefix.IDBytes)
	for n := range chain {
		copy(chain[n][:], joined[n*lrprefix.IDBytes:])
	}
	return chain
}
