package lrpipeline

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// choose picks a backend server and counts the request there.
func (r *run) choose() (lrbalance.Choice, lrfleet.Server, bool) {
	p := r.pipeline
	now := p.Clock()
	servers := p.Directory.Candidates(now, r.service.Name, r.Model)
	engines := make([]lrbalance.Engine, 0, len(servers))
	byID := make(map[string]lrfleet.Server, len(servers))
	ejected := p.Ejector.Ejected(now)
	excluded := make(map[string]bool, len(r.excluded)+len(ejected))
	for id := range r.excluded {
		excluded[id] = true
	}
	if len(ejected) < len(servers) {
		for _, id := range ejected {
			excluded[id] = true
		}
	}
	silent := p.SilentZones(now)
	for _, s := range servers {
		byID[s.ID] = s.Server
		engines = append(engines, lrbalance.Engine{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, Version: s.Versions[r.Model], OutdatedFor: s.OutdatedFor,
			IsClosing: s.IsClosing, IsDoubtful: silent[s.Zone],
		})
	}
	request := lrbalance.Request{
		Scope: balanceScope(r.account.Name, r.Model), Parts: r.Parts, Tokens: r.PromptTokens, Excluded: excluded,
		Target: r.route.TargetLatency - now.Sub(r.Received), Instances: p.Instances(),
		Stores: r.keptStores(now),
	}
	choice, ok := p.Balancer.Choose(now, request, engines)
	if !ok {
		return choice, lrfleet.Server{}, false
	}
	r.choice = choice
	p.Log.Debug().Str("request", r.ID).Str("server", choice.Engine.ID).Int("rank", choice.Rank).Int("missing", choice.Missing).
		Dur("wait", choice.Wait).Int("candidates", choice.Candidates).Msg("request: placed")
	return choice, byID[choice.Engine.ID], true
}

// source returns the address of the server from which a part of the prompt can be fetched.
func (r *run) source(choice lrbalance.Choice) string {
	if choice.FromStore {
		return choice.Store.Address
	}
	if choice.Source == "" {
		return ""
	}
	s, ok := r.pipeline.Directory.Server(choice.Source)
	if !ok || s.IsLeaving {
		return ""
	}
	return s.Address
}

// saveTo returns the address of the kept store to which the server shall send what it computes of the prompt.
func (r *run) saveTo(choice lrbalance.Choice) string {
	if !choice.IsSaved {
		return ""
	}
	return choice.Store.Address
}

// keptStores returns the kept stores that answer, for requests with a model.
func (r *run) keptStores(now time.Time) []lrbalance.Store {
	if r.Model == "" {
		return nil
	}
	stores := make([]lrbalance.Store, 0, len(r.stores))
	for _, s := range r.stores {
		if r.pipeline.Kept.IsUsable(now, s.Address) {
			stores = append(stores, lrbalance.Store{
				Address: s.Address, Zone: s.Zone, TokensPerMilli: s.TokensPerMilli, Residency: r.pipeline.Kept.Residency(now, s.Address),
			})
		}
	}
	return stores
}

// connections returns this instance's part of the connections that one server of the service accepts.
func (r *run) connections() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(r.service.MaxConnections/max(r.pipeline.Instances(), 1), 2)
}

// cacheScope names the cache that the request may share: that of its account and of the weights at the server.
func (r *run) cacheScope(server lrfleet.Server) string {
	if r.Model == "" {
		return ""
	}
	return scopeOf(r.account.Name, server.Versions[r.Model])
}
