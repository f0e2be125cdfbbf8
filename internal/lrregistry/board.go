package lrregistry

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

type board struct{ registry *Registry }

// NewBoard returns a ServerBoard that spreads which backend servers were found leaving.
func NewBoard(registry *Registry) lrpeer.ServerBoard { return &board{registry: registry} }

// Notices returns the backend servers that are leaving.
func (b *board) Notices(_ time.Time, limit int) []lrpeer.ServerNotice {
	var notices []lrpeer.ServerNotice
	for _, role := range []lrplatform.Role{lrplatform.RoleEngine, lrplatform.RoleService} {
		for _, s := range b.registry.Servers(role) {
			if s.Leaving && len(notices) < limit {
				notices = append(notices, lrpeer.ServerNotice{
					Name: s.Name, Leaving: true, Incarnation: b.registry.incarnation(s.Name),
				})
			}
		}
	}
	return notices
}

// TakeNotices marks the backend servers that another instance found leaving.
func (b *board) TakeNotices(now time.Time, notices []lrpeer.ServerNotice) {
	for _, n := range notices {
		if n.Leaving {
			b.registry.Apply(now, []Notice{{Name: n.Name, Incarnation: n.Incarnation, Leaving: true, Age: unknownAge}})
		}
	}
	b.registry.PublishChanges(context.Background(), now)
}

func (r *Registry) incarnation(name string) string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.reports[name].incarnation
}
