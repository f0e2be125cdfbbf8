package lrregistry

import (
	"maps"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

// versionsEvery is the number of notices of an engine of which one tells its versions although they have not changed.
const versionsEvery = 10

// servingSettle is the time after which the engines' versions count as settled.
const servingSettle = 2 * time.Second

// A wish is the version that the configuration wants of a model.
type wish struct {
	version string
	since   time.Time
}

// WithWanted makes the registry choose among the versions of a model. Without it, engines are used at any version.
func WithWanted(wanted func(model string) string) Option {
	return func(r *Registry) { r.wanted = wanted }
}

// ServedVersion returns the weights version at which requests for the model are sent, which is the wanted one as soon
// as enough engines serve it.
func (r *Registry) ServedVersion(model string) string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	version := r.served[model]
	if version == "" && r.wanted != nil {
		return r.wanted(model)
	}
	return version
}

// An EngineState is what is known of an engine for giving it orders.
type EngineState struct {
	Instance    lrplatform.Instance
	Versions    map[string]string
	Incarnation string
	ChangedAt   time.Time
	Reachable   bool
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

// withVersions returns the report with the versions, or with those of the report before when it comes without.
func (l report) withVersions(now time.Time, before report, versions map[string]string) report {
	l.versions, l.versionsSince, l.versionsTold = before.versions, before.versionsSince, before.versionsTold
	if versions == nil && l.incarnation != before.incarnation {
		l.versions = nil
	}
	if versions == nil || (l.versions != nil && maps.Equal(versions, before.versions)) {
		return l
	}
	l.versions, l.versionsSince, l.versionsTold = versions, now, 0
	return l
}

func (l report) isUnreachable(now time.Time) bool {
	return l.unreachable && now.Sub(l.at) < verdictValidity
}

// versionsToTell returns the versions of the engine when they are new or have not been told for a while.
func (r *Registry) versionsToTell(name string) map[string]string {
	last := r.reports[name]
	told := last.versionsTold
	last.versionsTold = (told + 1) % versionsEvery
	r.reports[name] = last
	if told > 0 {
		return nil
	}
	return last.versions
}

// chooseVersions sets the version at which each model is served, from what the engines have reported.
func (r *Registry) chooseVersions(now time.Time) {
	if r.wanted == nil {
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
		wanted := r.wanted(model)
		if wanted == "" {
			continue
		}
		if r.wishes[model].version != wanted {
			r.wishes[model] = wish{version: wanted, since: now}
		}
		settled := now.Sub(r.wishes[model].since) >= servingSettle && now.Sub(changedAt[model]) >= servingSettle
		r.served[model] = lrorder.Serving(wanted, r.served[model], versions, settled)
	}
}

// servesVersion reports whether the engine serves the model at the chosen version, as far as is known.
func (r *Registry) servesVersion(name, model string) bool {
	versions := r.reports[name].versions
	return r.served[model] == "" || versions == nil || versions[model] == r.served[model]
}
