// Package lrregistry keeps what the instance knows of backend servers: where they are, whether they are leaving, how
// loaded they are and which model versions they have loaded.
//
// The list of servers comes from the platform. Each instance reads the load and the cache events of its share of the
// engines and sends them to the other instances as updates. A server that is leaving finishes its requests and gets no
// new ones. Its incarnation identifies one run of its process, so that what was known of an earlier run is not applied
// to the next one. The placer chooses an engine for each request.
package lrregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// A Registry keeps the known backend servers. It is safe for concurrent use.
type Registry struct {
	zone       string
	directory  lrplatform.Directory
	dialer     lrengine.Dialer
	placer     lrroute.Placer
	membership lrpeer.MemberSource
	log        zerolog.Logger

	mutex     sync.RWMutex
	instances map[string]lrplatform.Instance
	engines   map[string]lrengine.Engine
	reports   map[string]report
	// leaving holds the backend servers that were found leaving, with their incarnation at that time.
	leaving map[string]string
	// unsent names the engines whose report has not been sent to the other instances.
	unsent []string
	// changed is set while the placer has not received the latest updates.
	changed bool
	// desiredVersion returns the version of a model that the configuration names.
	desiredVersion func(model string) string
	// served maps each model to the version whose engines get its requests.
	served  map[string]string
	desired map[string]desiredState

	cacheUpdateConsumer CacheUpdateConsumer
	kvStoreConsumer     KVStoreConsumer
	cursors             map[string]cursor
	cacheUpdates        []lrroute.CacheUpdate
	// cacheReadDueAt is when cache events are read next.
	cacheReadDueAt time.Time
}

// report is the last load of an engine, or the fact that it could not be reached.
type report struct {
	incarnation  string
	queuedTokens int
	running      int
	unreachable  bool
	at           time.Time
	// versions maps each loaded model to its version. It is nil while it is not known.
	versions map[string]string
	// versionsSince is when the engine was first seen with these versions.
	versionsSince time.Time
	// updatesSinceVersions counts the updates since the versions were last sent.
	updatesSinceVersions int
}

// An Option changes a setting of a Registry.
type Option func(*Registry)

// WithMembers makes the instance read the load of its share of the engines only. Without the option it reads all of them.
func WithMembers(membership lrpeer.MemberSource) Option {
	return func(r *Registry) { r.membership = membership }
}

// New returns an empty Registry for an instance in the availability zone.
func New(
	zone string, directory lrplatform.Directory, dialer lrengine.Dialer, placer lrroute.Placer, log zerolog.Logger, options ...Option,
) *Registry {
	r := &Registry{
		zone: zone, directory: directory, dialer: dialer, placer: placer, log: log,
		instances: map[string]lrplatform.Instance{}, engines: map[string]lrengine.Engine{},
		reports: map[string]report{}, leaving: map[string]string{}, cursors: map[string]cursor{},
		served: map[string]string{}, desired: map[string]desiredState{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Engine returns the engine of the name and reports whether there is one.
func (r *Registry) Engine(name string) (lrengine.Engine, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	engine, ok := r.engines[name]
	return engine, ok
}

// Servers returns the known instances of the role, ordered by name.
func (r *Registry) Servers(role lrplatform.Role) []lrplatform.Instance {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	var servers []lrplatform.Instance
	for _, i := range r.instances {
		if i.Role == role {
			i.Leaving = r.isLeaving(i)
			servers = append(servers, i)
		}
	}
	slices.SortFunc(servers, func(a, b lrplatform.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return servers
}

// Services returns the backend servers of the plain service that accept new requests, those of this instance's zone first.
func (r *Registry) Services(service string) []lrplatform.Instance {
	var near, far []lrplatform.Instance
	for _, s := range r.Servers(lrplatform.RoleService) {
		switch {
		case s.Service != service || s.Leaving:
		case s.Zone == r.zone:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	return append(near, far...)
}

// MarkLeaving records that the backend server must get no new requests.
func (r *Registry) MarkLeaving(now time.Time, name string) {
	r.mutex.Lock()
	r.leaving[name] = r.reports[name].incarnation
	r.queueUpdate(name)
	r.mutex.Unlock()
	r.publish(now)
}

// isLeaving reports whether the platform lists the server as leaving or it was found leaving in its current incarnation.
func (r *Registry) isLeaving(i lrplatform.Instance) bool { return i.Leaving || r.isMarked(i.Name) }

// isMarked reports whether the server was found leaving in its current incarnation. A mark without a known incarnation applies to any. Other
// instances are told of marks alone: what the platform lists reaches them with the list, and so does that it is over.
func (r *Registry) isMarked(name string) bool {
	marked, ok := r.leaving[name]
	present := r.reports[name].incarnation
	return ok && (marked == "" || present == "" || marked == present)
}

// HasInstances reports whether any instance of a server is known, that is, whether the platform's list has been read.
func (r *Registry) HasInstances() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return len(r.instances) > 0
}

// RefreshList reads the platform's list of instances. The last list stays in use when the platform is down.
func (r *Registry) RefreshList(ctx context.Context, now time.Time) {
	instances, err := r.directory.Instances(ctx)
	if err != nil {
		r.log.Warn().Err(err).Msg("registry: list of instances not read, keeping the last one")
		return
	}
	r.SetInstances(now, instances)
}

// SetInstances replaces the known instances. What is known of an engine is dropped when its address changes.
func (r *Registry) SetInstances(now time.Time, instances []lrplatform.Instance) {
	r.mutex.Lock()
	previous := r.instances
	r.instances = make(map[string]lrplatform.Instance, len(instances))
	for _, i := range instances {
		r.instances[i.Name] = i
		if i.Role == lrplatform.RoleEngine && previous[i.Name].Address != i.Address {
			r.engines[i.Name] = r.dialer.Dial(i.Address)
			delete(r.reports, i.Name)
			delete(r.cursors, i.Name)
		}
	}
	for name := range r.leaving {
		i, ok := r.instances[name]
		if !ok || previous[name].Leaving && !i.Leaving || previous[name].Address != i.Address {
			delete(r.leaving, name)
		}
	}
	for name := range r.engines {
		_, ok := r.instances[name]
		if !ok {
			delete(r.engines, name)
			delete(r.reports, name)
			delete(r.cursors, name)
		}
	}
	r.mutex.Unlock()
	r.publish(now)
	r.publishKVStores(now)
}

// publish passes the engines that accept new requests to the placer, for each model.
func (r *Registry) publish(now time.Time) {
	r.mutex.Lock()
	r.chooseVersions(now)
	engines := map[string][]lrroute.Engine{}
	for name, i := range r.instances {
		if i.Role != lrplatform.RoleEngine {
			continue
		}
		for _, m := range i.Models {
			list := engines[m]
			if !r.isLeaving(i) && r.servesVersion(name, m) {
				list = append(list, engineOf(now, i, r.reports[name]))
			}
			engines[m] = list
		}
	}
	r.mutex.Unlock()
	for model, list := range engines {
		slices.SortFunc(list, func(a, b lrroute.Engine) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		r.placer.SetEngines(now, model, list)
	}
}

func engineOf(now time.Time, i lrplatform.Instance, last report) lrroute.Engine {
	return lrroute.Engine{
		Name: i.Name, Zone: i.Zone, Incarnation: last.incarnation,
		QueuedTokens: last.queuedTokens, Running: last.running, ReportedAt: last.at,
		Unreachable: last.unreachable && now.Sub(last.at) < unreachableValidity,
	}
}
