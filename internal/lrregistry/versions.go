package lrregistry

import (
	"maps"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

// updatesPerVersions is the number of updates of an engine of which one carries its versions although they have not changed.
const updatesPerVersions = 10

// servingSettle is the time without a change after which the engines' versions and the desired one count as settled.
const servingSettle = 2 * time.Second

// A desiredState is the desired version of a model and when it became so.
type desiredState struct {
	version string
	since   time.Time
}

// WithDesiredVersions makes the registry choose among the loaded versions of a model, preferring the desired one. Without the
// option, engines are used at any version.
func WithDesiredVersions(desiredVersion func(model string) string) Option {
	return func(r *Registry) { r.desiredVersion = desiredVersion }
}

// ServedVersion returns the weights version whose engines get the requests for the model. It becomes the desired version
// as soon as enough engines serve that.
func (r *Registry) ServedVersion(model string) string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	version := r.served[model]
	if version == "" && r.desiredVersion != nil {
		return r.desiredVersion(model)
	}
	return version
}

// An EngineState is what is known of an engine, as needed to decide on its orders.
type EngineState struct {
	Instance    lrplatform.Instance
	Versions    map[string]string
	Incarnation string
	// ChangedAt is when the engine was first seen with these versions.
	ChangedAt time.Time
	Reachable bool
}

// EngineStates returns what is known of every engine, ordered by name.
func (r *Registry) EngineStates(now time.Time) []EngineState {
	engines := r.Servers(lrplatform.RoleEngine)
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	states := make([]EngineState, 0, len(engines))
	for _, i := range engines {
		last := r.reports[i.Name]
		states = append(states, EngineState{
			Instance: i, Versions: last.versions, Incarnation: last.incarnation, ChangedAt: last.versionsSince,
			Reachable: last.versions != nil && !last.isUnreachable(now) && !i.Leaving,
		})
	}
	return states
}

// withVersions returns the report with the versions, or with those of the report before when versions is nil. The versions of
// an earlier incarnation are dropped.
func (l report) withVersions(now time.Time, before report, versions map[string]string) report {
	l.versions, l.versionsSince, l.updatesSinceVersions = before.versions, before.versionsSince, before.updatesSinceVersions
	if versions == nil && l.incarnation != before.incarnation {
		l.versions = nil
	}
	if versions == nil || (l.versions != nil && maps.Equal(versions, before.versions)) {
		return l
	}
	l.versions, l.versionsSince, l.updatesSinceVersions = versions, now, 0
	return l
}

func (l report) isUnreachable(now time.Time) bool {
	return l.unreachable && now.Sub(l.at) < unreachableValidity
}

// versionsToSend returns the versions of the engine for its next update, when they are new or were not sent in the last
// updates. It returns nil otherwise.
func (r *Registry) versionsToSend(name string) map[string]string {
	last := r.reports[name]
	count := last.updatesSinceVersions
	last.updatesSinceVersions = (count + 1) % updatesPerVersions
	r.reports[name] = last
	if count > 0 {
		return nil
	}
	return last.versions
}

// chooseVersions sets the served version of each model from the versions that the engines have reported.
func (r *Registry) chooseVersions(now time.Time) {
	if r.desiredVersion == nil {
		return
	}
	counts, changedAt := map[string]map[string]int{}, map[string]time.Time{}
	for name, i := range r.instances {
		last := r.reports[name]
		for _, m := range i.Models {
			if counts[m] == nil {
				counts[m] = map[string]int{}
			}
			if last.versionsSince.After(changedAt[m]) {
				changedAt[m] = last.versionsSince
			}
			version, loaded := last.versions[m]
			if loaded && !last.isUnreachable(now) && !r.isLeaving(i) {
				counts[m][version]++
			}
		}
	}
	for model, versions := range counts {
		desiredVersion := r.desiredVersion(model)
		if desiredVersion == "" {
			continue
		}
		if r.desired[model].version != desiredVersion {
			r.desired[model] = desiredState{version: desiredVersion, since: now}
		}
		settled := now.Sub(r.desired[model].since) >= servingSettle && now.Sub(changedAt[model]) >= servingSettle
		r.served[model] = lrorder.ServingVersion(desiredVersion, r.served[model], versions, settled)
	}
}

// servesVersion reports whether the engine serves the model at the served version. An engine whose versions are unknown
// counts as serving it.
func (r *Registry) servesVersion(name, model string) bool {
	versions := r.reports[name].versions
	return r.served[model] == "" || versions == nil || versions[model] == r.served[model]
}
