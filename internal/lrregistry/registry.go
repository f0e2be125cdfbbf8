// Package lrregistry keeps what the instance knows of backend servers: where they are, whether they are leaving and
// how loaded they are.
package lrregistry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

const loadTimeout = 400 * time.Millisecond

// A Registry keeps the backend servers. It is safe for use by several goroutines.
type Registry struct {
	zone      string
	directory lrplatform.Directory
	dialer    lrengine.Dialer
	placer    lrroute.Placer
	log       zerolog.Logger

	mutex     sync.RWMutex
	instances map[string]lrplatform.Instance
	engines   map[string]lrengine.Engine
	loads     map[string]loadReport
	leaving   map[string]bool
	asked     bool
}

type loadReport struct {
	load       lrengine.Load
	reportedAt time.Time
}

// New returns an empty Registry of an instance in the availability zone.
func New(zone string, directory lrplatform.Directory, dialer lrengine.Dialer, placer lrroute.Placer, log zerolog.Logger) *Registry {
	return &Registry{
		zone: zone, directory: directory, dialer: dialer, placer: placer, log: log,
		instances: map[string]lrplatform.Instance{}, engines: map[string]lrengine.Engine{},
		loads: map[string]loadReport{}, leaving: map[string]bool{},
	}
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
			i.Leaving = i.Leaving || r.leaving[i.Name]
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

// Services returns the backend servers of the plain service that take new work, those of the own zone first.
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

// MarkLeaving notes that the backend server must get no new work.
func (r *Registry) MarkLeaving(now time.Time, name string) {
	r.mutex.Lock()
	r.leaving[name] = true
	r.mutex.Unlock()
	r.publish(now)
}

// Known reports whether a list of instances has been read and every engine in it has been asked for its load.
func (r *Registry) Known() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.asked
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

// SetInstances replaces the known instances.
func (r *Registry) SetInstances(now time.Time, instances []lrplatform.Instance) {
	r.mutex.Lock()
	previous := r.instances
	r.instances = make(map[string]lrplatform.Instance, len(instances))
	for _, i := range instances {
		r.instances[i.Name] = i
		if i.Role == lrplatform.RoleEngine && previous[i.Name].Address != i.Address {
			r.engines[i.Name] = r.dialer.Dial(i.Address)
			delete(r.leaving, i.Name)
		}
	}
	for name := range r.engines {
		_, ok := r.instances[name]
		if !ok {
			delete(r.engines, name)
			delete(r.loads, name)
		}
	}
	r.mutex.Unlock()
	r.publish(now)
}

// RefreshLoads asks every engine for its load and gives the result to the placer.
func (r *Registry) RefreshLoads(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range r.Servers(lrplatform.RoleEngine) {
		group.Go(func() { r.refreshLoad(ctx, now, s.Name) })
	}
	group.Wait()
	r.mutex.Lock()
	r.asked = len(r.instances) > 0
	r.mutex.Unlock()
	r.publish(now)
}

func (r *Registry) refreshLoad(ctx context.Context, now time.Time, name string) {
	engine, ok := r.Engine(name)
	if !ok {
		return
	}
	load, err := engine.Load(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		delete(r.loads, name)
		return
	}
	r.loads[name] = loadReport{load: load, reportedAt: now}
}

// publish gives the placer the engines of each model that take new work.
func (r *Registry) publish(now time.Time) {
	r.mutex.RLock()
	engines := map[string][]lrroute.Engine{}
	for name, i := range r.instances {
		if i.Role != lrplatform.RoleEngine {
			continue
		}
		report, live := r.loads[name]
		for _, m := range i.Models {
			list := engines[m]
			if live && !i.Leaving && !r.leaving[name] {
				list = append(list, describe(i, report))
			}
			engines[m] = list
		}
	}
	r.mutex.RUnlock()
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

func describe(i lrplatform.Instance, report loadReport) lrroute.Engine {
	return lrroute.Engine{
		Name: i.Name, Zone: i.Zone, Incarnation: report.load.Incarnation,
		QueuedTokens: report.load.QueuedTokens, Running: report.load.Running, ReportedAt: report.reportedAt,
	}
}
