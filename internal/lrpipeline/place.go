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
	excluded, trials := r.excludedServers(now, servers, decisions)
	unreachable := p.UnreachableZones(now)
	r.heldBack = heldBack{}
	for n, s := range servers {
		decision := decisions[n]
		if !excluded[s.ID] {
			r.heldBack.add(s.ID, decision)
		}
		byID[s.ID] = s.Server
		engines = append(engines, lrbalance.Engine{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, Memory: r.service.Memory, Version: s.Versions[r.Model], OutdatedFor: s.OutdatedFor,
			IsDraining: s.IsClosing, IsZoneUnreachable: unreachable[s.Zone],
			IsHeldBack: !decision.Admission.IsAllowed(), Preference: max(preference(decision, len(servers)), trials[s.ID]),
		})
	}
	if len(r.heldBack.servers) > 0 {
		p.Observer.HeldBack(len(r.heldBack.servers))
	}
	request := lrbalance.Request{
		Service: r.service.Name, Scope: balanceScope(r.account.Name, r.Model), Blocks: r.Blocks, Tokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Urgency: r.route.PriorityOf(r.account), Excluded: excluded,
		Target: r.route.TargetLatency - now.Sub(r.Received), Instances: p.Instances(),
		Stores: r.kvStores(now),
	}
	choice, ok := p.Balancer.Choose(now, request, engines)
	if _, isTrial := trials[choice.Engine.ID]; ok && isTrial && !p.Responses.TakeTrial(now, choice.Engine.ID, r.route.IsRetryable()) {
		// Another request has become the trial since.
		p.Balancer.End(choice, false)
		excluded[choice.Engine.ID] = true
		choice, ok = p.Balancer.Choose(now, request, engines)
	}
	if !ok {
		return choice, lrfleet.Server{}, false
	}
	r.choice, r.compared = choice, compared{engines: engines, excluded: excluded}
	p.Log.Debug().Str("request", r.ID).Str("server", choice.Engine.ID).Int("rank", choice.Rank).Int("missing", choice.Missing).
		Dur("wait", choice.Wait).Int("candidates", choice.Candidates).Msg("request: placed")
	return choice, byID[choice.Engine.ID], true
}

// excludedServers returns the servers that have failed the request, those that do not respond and those that are ejected, and the preference
// of the servers for which the request is a trial whether they respond again. Where all others want no request now, servers that do not
// respond are tried before those that are ejected.
func (r *run) excludedServers(now time.Time, servers []lrfleet.Candidate, decisions []lrnotice.Decision) (excluded map[string]bool, trials map[string]float64) {
	p := r.pipeline
	excluded = make(map[string]bool, len(r.excluded))
	for id := range r.excluded {
		excluded[id] = true
	}
	ejected, suspected := p.Ejector.Ejected(now), suspectedOf(servers, p.Responses.Suspected(now))
	hasOther := func(isLeftOut func(id string) bool) bool {
		for n, s := range servers {
			if decisions[n].Admission.IsAllowed() && !isLeftOut(s.ID) {
				return true
			}
		}
		return false
	}
	isEjected := func(id string) bool { return slices.Contains(ejected, id) }
	isLeftOut := func(id string) bool { return isEjected(id) || slices.Contains(suspected, id) || r.excluded[id] }
	switch {
	case len(suspected) > 0 && hasOther(isLeftOut):
		trials = map[string]float64{}
		for _, id := range suspected {
			if !isEjected(id) && !excluded[id] && p.Responses.AllowsTrial(now, id, r.route.IsRetryable()) {
				trials[id] = 1
				continue
			}
			excluded[id] = true
		}
	case !hasOther(isEjected):
		return excluded, nil
	}
	for _, id := range ejected {
		excluded[id] = true
	}
	return excluded, trials
}

// suspectedOf returns those of the servers that are suspected not to respond. If they are more than half of the servers, they are all slow,
// or the reports of other instances are wrong, and none is returned.
func suspectedOf(servers []lrfleet.Candidate, suspected []string) []string {
	var found []string
	for _, s := range servers {
		if slices.Contains(suspected, s.ID) {
			found = append(found, s.ID)
		}
	}
	if 2*len(found) > len(servers) {
		return nil
	}
	return found
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
