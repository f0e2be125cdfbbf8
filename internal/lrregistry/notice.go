package lrregistry

import (
	"context"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	// verdictValidity is how long an engine counts as unreachable without being found so again.
	verdictValidity = 3 * time.Second
	// unknownAge is the age of what was never reported.
	unknownAge = 24 * time.Hour
)

// A Notice is what an instance has seen of a backend server.
type Notice struct {
	Name        string
	Incarnation string
	// QueuedTokens is the prefill work ahead of a new request.
	QueuedTokens int
	// Running is the number of requests being decoded.
	Running     int
	Leaving     bool
	Unreachable bool
	// Versions maps each loaded model to its version. It is nil while the receivers know it.
	Versions map[string]string
	// Age is the time since it was seen.
	Age time.Duration
}

// Notices returns what this instance itself has seen since the last call.
func (r *Registry) Notices(now time.Time) []Notice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	notices := make([]Notice, 0, len(r.unsent))
	for _, name := range r.unsent {
		report := r.reports[name]
		age := unknownAge
		if !report.at.IsZero() {
			age = now.Sub(report.at)
		}
		notices = append(notices, Notice{
			Name: name, Incarnation: report.incarnation, QueuedTokens: report.queuedTokens, Running: report.running,
			Leaving: r.isLeaving(r.instances[name]), Unreachable: report.unreachable, Age: age,
			Versions: r.versionsToTell(name),
		})
	}
	r.unsent = r.unsent[:0]
	return notices
}

// tell makes the next notices include the backend server.
func (r *Registry) tell(name string) {
	if !slices.Contains(r.unsent, name) {
		r.unsent = append(r.unsent, name)
	}
}

// Apply takes in what other instances have seen. Notices older than what is known have no effect.
func (r *Registry) Apply(now time.Time, notices []Notice) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, n := range notices {
		r.apply(now, n)
	}
	r.changed = r.changed || len(notices) > 0
}

// PublishChanges gives the placer what Apply has taken in since the last call.
func (r *Registry) PublishChanges(_ context.Context, now time.Time) {
	r.mutex.Lock()
	changed := r.changed
	r.changed = false
	r.mutex.Unlock()
	if changed {
		r.publish(now)
	}
}

func (r *Registry) apply(now time.Time, notice Notice) {
	instance, ok := r.instances[notice.Name]
	if !ok {
		return
	}
	if notice.Leaving {
		r.leaving[notice.Name] = notice.Incarnation
	}
	at := now.Add(-notice.Age)
	if instance.Role != lrplatform.RoleEngine || at.Before(r.reports[notice.Name].at) {
		return
	}
	last := report{
		incarnation: notice.Incarnation, queuedTokens: notice.QueuedTokens, running: notice.Running,
		unreachable: notice.Unreachable, at: at,
	}
	r.reports[notice.Name] = last.withVersions(now, r.reports[notice.Name], notice.Versions)
}
