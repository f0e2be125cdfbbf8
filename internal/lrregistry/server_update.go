package lrregistry

import (
	"context"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	// unreachableValidity is how long an engine counts as unreachable when no further call confirms it.
	unreachableValidity = 3 * time.Second
	// unknownAge is the age of a load that was never reported. It is so high that any report is newer.
	unknownAge = 24 * time.Hour
)

// A ServerUpdate is what an instance knows of a backend server from its own calls to it.
type ServerUpdate struct {
	Name        string
	Incarnation string
	// QueuedTokens is the prefill work ahead of a new request.
	QueuedTokens int
	// Running is the number of requests being decoded.
	Running     int
	Leaving     bool
	Unreachable bool
	// Versions maps each loaded model to its weights version. It is nil when the receivers know the versions already.
	Versions map[string]string
	// Age is the time since the load was read.
	Age time.Duration
}

// TakeUpdates returns the updates of the servers that this instance itself has called since the last call of TakeUpdates.
func (r *Registry) TakeUpdates(now time.Time) []ServerUpdate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	updates := make([]ServerUpdate, 0, len(r.unsent))
	for _, name := range r.unsent {
		report := r.reports[name]
		age := unknownAge
		if !report.at.IsZero() {
			age = now.Sub(report.at)
		}
		updates = append(updates, ServerUpdate{
			Name: name, Incarnation: report.incarnation, QueuedTokens: report.queuedTokens, Running: report.running,
			Leaving: r.isMarked(name), Unreachable: report.unreachable, Age: age,
			Versions: r.versionsToSend(name),
		})
	}
	r.unsent = r.unsent[:0]
	return updates
}

// queueUpdate makes the next call of TakeUpdates include the backend server.
func (r *Registry) queueUpdate(name string) {
	if !slices.Contains(r.unsent, name) {
		r.unsent = append(r.unsent, name)
	}
}

// Apply applies the updates of other instances. A load that is older than the known one has no effect.
func (r *Registry) Apply(now time.Time, updates []ServerUpdate) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, u := range updates {
		r.apply(now, u)
	}
	r.changed = r.changed || len(updates) > 0
}

// PublishChanges passes the engines to the placer when Apply has applied updates since the last call.
func (r *Registry) PublishChanges(_ context.Context, now time.Time) {
	r.mutex.Lock()
	changed := r.changed
	r.changed = false
	r.mutex.Unlock()
	if changed {
		r.publish(now)
	}
}

func (r *Registry) apply(now time.Time, update ServerUpdate) {
	instance, ok := r.instances[update.Name]
	if !ok {
		return
	}
	if update.Leaving {
		r.leaving[update.Name] = update.Incarnation
	}
	at := now.Add(-update.Age)
	if instance.Role != lrplatform.RoleEngine || at.Before(r.reports[update.Name].at) {
		return
	}
	last := report{
		incarnation: update.Incarnation, queuedTokens: update.QueuedTokens, running: update.Running,
		unreachable: update.Unreachable, at: at,
	}
	r.reports[update.Name] = last.withVersions(now, r.reports[update.Name], update.Versions)
}
