package lrregistry

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

type leavingServers struct{ registry *Registry }

// NewLeavingServers returns a ServerBoard that exchanges with other instances which backend servers were found leaving.
func NewLeavingServers(registry *Registry) lrpeer.ServerUpdates {
	return &leavingServers{registry: registry}
}

// NextUpdates returns the backend servers that are leaving.
func (l *leavingServers) NextUpdates(_ time.Time, limit int) []lrpeer.ServerUpdate {
	var servers []lrpeer.ServerUpdate
	for _, role := range []lrplatform.Role{lrplatform.RoleEngine, lrplatform.RoleService} {
		for _, s := range l.registry.Servers(role) {
			if s.Leaving && len(servers) < limit {
				servers = append(servers, lrpeer.ServerUpdate{
					Name: s.Name, Leaving: true, Incarnation: l.registry.incarnation(s.Name),
				})
			}
		}
	}
	return servers
}

// ApplyUpdates marks the backend servers that another instance found leaving. The age is unknownAge, so that the
// update replaces no load report.
func (l *leavingServers) ApplyUpdates(now time.Time, servers []lrpeer.ServerUpdate) {
	for _, s := range servers {
		if s.Leaving {
			l.registry.Apply(now, []ServerUpdate{{Name: s.Name, Incarnation: s.Incarnation, Leaving: true, Age: unknownAge}})
		}
	}
	l.registry.PublishChanges(context.Background(), now)
}

func (r *Registry) incarnation(name string) string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.reports[name].incarnation
}
