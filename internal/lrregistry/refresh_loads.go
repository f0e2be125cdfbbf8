package lrregistry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const (
	loadTimeout   = 400 * time.Millisecond
	parallelLoads = 16
	// anyZone stands for all availability zones together.
	anyZone = ""
)

// RefreshLoads reads the load of this instance's share of the engines and passes the result to the placer.
func (r *Registry) RefreshLoads(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(parallelLoads)
	for _, name := range r.Share() {
		group.Go(func() error {
			r.refreshLoad(ctx, now, name)
			return nil
		})
	}
	_ = group.Wait()
	r.publish(now)
}

// Share returns the names of the engines whose load this instance reads. Rendezvous hashing assigns each engine to one
// live instance of its zone, or to one of any zone when its own has none.
func (r *Registry) Share() []string {
	var share []string
	members := r.membersByZone()
	for _, s := range r.Servers(lrplatform.RoleEngine) {
		near := members[s.Zone]
		if len(near) == 0 {
			near = members[anyZone]
		}
		owner := lrroute.Owner(s.Name, near)
		if r.membership == nil || owner >= 0 && near[owner] == r.membership.Self().Name {
			share = append(share, s.Name)
		}
	}
	return share
}

// membersByZone returns the names of the live instances by zone, and all of them under anyZone.
func (r *Registry) membersByZone() map[string][]string {
	members := map[string][]string{}
	if r.membership == nil {
		return members
	}
	for _, m := range r.membership.Members() {
		if !m.Leaving {
			members[m.Zone] = append(members[m.Zone], m.Name)
			members[anyZone] = append(members[anyZone], m.Name)
		}
	}
	return members
}

func (r *Registry) refreshLoad(ctx context.Context, now time.Time, name string) {
	engine, ok := r.Engine(name)
	if !ok {
		return
	}
	load, err := engine.Load(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := report{at: now, unreachable: err != nil, incarnation: r.reports[name].incarnation}
	if err == nil {
		last.incarnation, last.queuedTokens, last.running = load.Incarnation, load.QueuedTokens, load.Running
	}
	r.reports[name] = last.withVersions(now, r.reports[name], load.Versions)
	r.queueUpdate(name)
}
