package lrplacement

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrregistry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

func newShareRequest(
	placements []lrroute.PlacementUpdate, loads []lrregistry.ServerUpdate, cacheUpdates []lrroute.CacheUpdate,
) *lrpeerpb.ShareRequest {
	request := &lrpeerpb.ShareRequest{}
	for _, u := range placements {
		request.Placements = append(request.Placements, &lrpeerpb.PlacementNote{
			Engine: u.Engine, Incarnation: u.Incarnation, Model: u.Model, Chain: joinChain(u.Chain),
			Tokens: uint32(u.Tokens), Missing: uint32(u.Missing), AgeMillis: uint32(u.Age.Milliseconds()),
		})
	}
	for _, u := range loads {
		request.Loads = append(request.Loads, &lrpeerpb.LoadNote{
			Name: u.Name, Incarnation: u.Incarnation, QueuedTokens: uint32(u.QueuedTokens), Running: uint32(u.Running),
			Leaving: u.Leaving, Unreachable: u.Unreachable, AgeMillis: uint32(u.Age.Milliseconds()), Versions: u.Versions,
		})
	}
	for _, c := range cacheUpdates {
		request.Holdings = append(request.Holdings, &lrpeerpb.HoldingNote{
			Engine: c.Engine, Incarnation: c.Incarnation, Stored: joinChain(c.Stored), Evicted: joinChain(c.Evicted),
		})
	}
	return request
}

func cacheUpdatesOf(request *lrpeerpb.ShareRequest) []lrroute.CacheUpdate {
	updates := make([]lrroute.CacheUpdate, 0, len(request.GetHoldings()))
	for _, h := range request.GetHoldings() {
		updates = append(updates, lrroute.CacheUpdate{
			Engine: h.GetEngine(), Incarnation: h.GetIncarnation(),
			Stored: splitChain(h.GetStored()), Evicted: splitChain(h.GetEvicted()),
		})
	}
	return updates
}

func placementsOf(request *lrpeerpb.ShareRequest) []lrroute.PlacementUpdate {
	placements := make([]lrroute.PlacementUpdate, 0, len(request.GetPlacements()))
	for _, p := range request.GetPlacements() {
		placements = append(placements, lrroute.PlacementUpdate{
			Engine: p.GetEngine(), Incarnation: p.GetIncarnation(), Model: p.GetModel(), Chain: splitChain(p.GetChain()),
			Tokens: int(p.GetTokens()), Missing: int(p.GetMissing()), Age: time.Duration(p.GetAgeMillis()) * time.Millisecond,
		})
	}
	return placements
}

func loadsOf(request *lrpeerpb.ShareRequest) []lrregistry.ServerUpdate {
	loads := make([]lrregistry.ServerUpdate, 0, len(request.GetLoads()))
	for _, l := range request.GetLoads() {
		loads = append(loads, lrregistry.ServerUpdate{
			Name: l.GetName(), Incarnation: l.GetIncarnation(), QueuedTokens: int(l.GetQueuedTokens()),
			Running: int(l.GetRunning()), Leaving: l.GetLeaving(), Unreachable: l.GetUnreachable(),
			Age: time.Duration(l.GetAgeMillis()) * time.Millisecond, Versions: l.GetVersions(),
		})
	}
	return loads
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
