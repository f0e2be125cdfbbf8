package lrpipeline

import (
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
)

// choose picks a backend server and counts the request as running there. It reports false when no server is available. While a new release
// of the service is observed, a request for which none of its servers is available goes to the old release.
func (r *run) choose() (lrbalance.Choice, lrfleet.Server, bool) {
	p := r.pipeline
	r.release = p.Releases.Assign(p.Clock(), r.service.Name, r.attempts == 0)
	choice, server, ok := r.chooseOfRelease()
	if !ok && r.release.IsNew {
		p.Releases.End(r.release)
		r.release = p.Releases.Assign(p.Clock(), r.service.Name, false)
		choice, server, ok = r.chooseOfRelease()
	}
	if !ok {
		p.Releases.End(r.release)
	}
	return choice, server, ok
}

// chooseOfRelease picks a backend server of the release that the attempt is for.
func (r *run) chooseOfRelease() (lrbalance.Choice, lrfleet.Server, bool) {
	p := r.pipeline
	for {
		choice, server, ok := r.place()
		if !ok {
			return choice, server, false
		}
		decision := p.Notices.Take(p.Clock(), startedServer(server))
		if decision.Admission.IsAllowed() {
			return choice, server, true
		}
		// Another request has taken the last one of the server's limit since place checked it.
		p.Balancer.End(choice, false)
	}
}

// place picks a backend server that takes requests and counts the request as running there.
func (r *run) place() (lrbalance.Choice, lrfleet.Server, bool) {
	p := r.pipeline
	now := p.Clock()
	servers := slices.DeleteFunc(p.Directory.Candidates(now, r.service.Name, r.Model), func(c lrfleet.Candidate) bool {
		return !r.release.Filter.Allows(c.ID, c.Release)
	})
	engines := make([]lrbalance.Engine, 0, len(servers))
	byID := make(map[string]lrfleet.Server, len(servers))
	decisions := make([]lrnotice.Decision, len(servers))
	for n, s := range servers {
		decisions[n] = p.Notices.Check(now, startedServer(s.Server))
	}
	excluded := r.excludedServers(servers, decisions, p.Ejector.Ejected(now))
	unreachable := p.UnreachableZones(now)
	r.heldBack = heldBack{}
	for n, s := range servers {
		decision := decisions[n]
		if !excluded[s.ID] {
			r.heldBack.add(s.ID, decision)
		}
		byID[s.ID] = s.Server
		engines = append(engines, lrbalance.Engine{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, Version: s.Versions[r.Model], OutdatedFor: s.OutdatedFor,
			IsDraining: s.IsClosing, IsZoneUnreachable: unreachable[s.Zone],
			IsHeldBack: !decision.Admission.IsAllowed(), Preference: preference(decision, len(servers)),
		})
	}
	if len(r.heldBack.servers) > 0 {
		p.Observer.HeldBack(len(r.heldBack.servers))
	}
	request := lrbalance.Request{
		Scope: balanceScope(r.account.Name, r.Model), Blocks: r.Blocks, Tokens: r.PromptTokens, Excluded: excluded,
		Target: r.route.TargetLatency - now.Sub(r.Received), Instances: p.Instances(),
		Stores: r.kvStores(now),
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

// excludedServers returns the servers that have failed the request and those that are ejected. Ejected servers are tried where all others want
// no request now.
func (r *run) excludedServers(servers []lrfleet.Candidate, decisions []lrnotice.Decision, ejected []string) map[string]bool {
	excluded := make(map[string]bool, len(r.excluded)+len(ejected))
	for id := range r.excluded {
		excluded[id] = true
	}
	hasOther := false
	for n, s := range servers {
		hasOther = hasOther || decisions[n].Admission.IsAllowed() && !slices.Contains(ejected, s.ID)
	}
	if hasOther {
		for _, id := range ejected {
			excluded[id] = true
		}
	}
	return excluded
}

// preference returns for which part of the requests a server at its limit is preferred, so that the few instances that may send to it together
// send about as much as all would.
func preference(decision lrnotice.Decision, servers int) float64 {
	if decision.Admission != lrnotice.WithinLimit || decision.SenderShare >= 1 {
		return 0
	}
	return min(1/(decision.SenderShare*float64(servers)), 1)
}

// fetchFrom returns the address of the KV store or server from which cached blocks of the prompt can be fetched, or an empty string.
func (r *run) fetchFrom(choice lrbalance.Choice) string {
	if choice.FetchesFromStore {
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

// saveTo returns the address of the KV store to which the server sends the blocks that it computes, or an empty string.
func (r *run) saveTo(choice lrbalance.Choice) string {
	if !choice.SavesToStore {
		return ""
	}
	return choice.Store.Address
}

// kvStores returns the KV stores that answer. Requests without a model use none.
func (r *run) kvStores(now time.Time) []lrbalance.Store {
	if r.Model == "" {
		return nil
	}
	stores := make([]lrbalance.Store, 0, len(r.stores))
	for _, s := range r.stores {
		if r.pipeline.Stores.IsUsable(now, s.Address) {
			stores = append(stores, lrbalance.Store{
				Address: s.Address, Zone: s.Zone, TokensPerMilli: s.TokensPerMilli, Residency: r.pipeline.Stores.Residency(now, s.Address),
			})
		}
	}
	return stores
}

// maxConnections returns this instance's share of the connections that one server of the service accepts, but at least two.
// Zero means no limit.
func (r *run) maxConnections() int {
	if r.service.MaxConnections == 0 {
		return 0
	}
	return max(r.service.MaxConnections/max(r.pipeline.Instances(), 1), 2)
}

// cacheScope returns the scope of the cache that the request may share: that of its account and of the weights at the server.
func (r *run) cacheScope(server lrfleet.Server) string {
	if r.Model == "" {
		return ""
	}
	return scopeOf(r.account.Name, server.Versions[r.Model])
}
