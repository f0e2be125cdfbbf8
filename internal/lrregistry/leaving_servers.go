package lrregistry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
)

type leavingServers struct{ registry *Registry }

// NewLeavingServers returns a ServerBoard that exchanges with other instances which backend servers were found leaving.
func NewLeavingServers(registry *Registry) lrpeer.ServerUpdates {
	return &leavingServers{registry: registry}
}

// NextUpdates returns the backend servers that were found leaving.
func (l *leavingServers) NextUpdates(_ time.Time, limit int) []lrpeer.ServerUpdate {
	l.registry.mutex.RLock()
	defer l.registry.mutex.RUnlock()
	var servers []lrpeer.ServerUpdate
	for _, name := range slices.Sorted(maps.Keys(l.registry.leaving)) {
		if l.registry.isMarked(name) && len(servers) < limit {
			servers = append(servers, lrpeer.ServerUpdate{Name: name, Leaving: true, Incarnation: l.registry.reports[name].incarnation})
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
