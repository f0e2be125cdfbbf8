package lrfleet

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// A Directory is what the request path asks for. It is safe for use by several goroutines.
type Directory struct {
	log   zerolog.Logger
	table atomic.Pointer[lrtable.Table]

	mutex   sync.Mutex
	servers map[string]Server
	closing map[string]bool
	// wanted are the versions of each model that have been named, in order.
	wanted map[string][]wantedVersion
	// displaced are servers whose address has gone to another one, until the list says so too.
	displaced map[string]bool
	// onRestart is told of servers whose cache is gone.
	onRestart []func(server string)
}

type wantedVersion struct {
	version int64
	since   time.Time
}

// NewDirectory returns an empty Directory.
func NewDirectory(log zerolog.Logger) *Directory {
	return &Directory{log: log, servers: map[string]Server{}, closing: map[string]bool{}, wanted: map[string][]wantedVersion{}, displaced: map[string]bool{}}
}

// OnRestart makes the directory call the function with each server that has restarted or changed its weights.
func (d *Directory) OnRestart(call func(server string)) { d.onRestart = append(d.onRestart, call) }

// Table returns the routing table in force, or nil before the first is known.
func (d *Directory) Table() *lrtable.Table { return d.table.Load() }

// SetSpec takes in a routing table. It never goes back to an older version.
func (d *Directory) SetSpec(spec lrtable.Spec) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.table.Load()
	if current != nil && spec.Version <= current.Version() {
		return
	}
	d.table.Store(lrtable.New(spec))
	d.log.Info().Uint64("version", spec.Version).Int("routes", len(spec.Routes)).Int("accounts", len(spec.Accounts)).
		Msg("fleet: routing table in force")
}

// SetServers takes in the list of backend servers.
func (d *Directory) SetServers(listed map[string]Server) {
	d.mutex.Lock()
	var restarted []string
	servers := make(map[string]Server, len(listed))
	for id, s := range listed {
		before, known := d.servers[id]
		servers[id] = merge(before, s)
		if known && before.Born != s.Born {
			restarted = append(restarted, id)
			delete(d.displaced, id)
		}
		if !known || before.IsLeaving != s.IsLeaving || before.Born != s.Born {
			d.log.Info().Str("server", id).Str("service", s.Service).Str("address", s.Address).Bool("leaving", s.IsLeaving).
				Interface("versions", s.Versions).Msg("fleet: backend server")
		}
	}
	for id := range d.servers {
		if _, ok := servers[id]; !ok {
			delete(d.displaced, id)
			d.log.Info().Str("server", id).Msg("fleet: backend server is gone")
		}
	}
	d.servers = servers
	d.mutex.Unlock()
	d.restarted(restarted...)
}

// merge keeps versions that answers have shown, since the list lags behind them.
func merge(before, listed Server) Server {
	if before.Born != listed.Born {
		return listed
	}
	for model, version := range before.Versions {
		if listed.Versions[model] < version {
			listed = listed.WithVersion(model, version)
		}
	}
	return listed
}

func (d *Directory) restarted(servers ...string) {
	for _, s := range servers {
		for _, call := range d.onRestart {
			call(s)
		}
	}
}

// NoteVersion takes in the version of a model's weights that a server has shown.
func (d *Directory) NoteVersion(server, model string, version int64) {
	d.mutex.Lock()
	s, ok := d.servers[server]
	if !ok || s.Versions[model] >= version {
		d.mutex.Unlock()
		return
	}
	d.servers[server] = s.WithVersion(model, version)
	d.mutex.Unlock()
	d.restarted(server)
}

// SetWanted takes in the version of a model's weights that is wanted since the given time.
func (d *Directory) SetWanted(now time.Time, model string, version int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	named := d.wanted[model]
	if len(named) > 0 && named[len(named)-1].version >= version {
		return
	}
	d.wanted[model] = append(named[max(0, len(named)-maxNamed):], wantedVersion{version: version, since: now})
	d.log.Info().Str("model", model).Int64("version", version).Msg("fleet: weights are wanted")
}

// WantedAges returns how long each version that is remembered has been wanted.
func (d *Directory) WantedAges(now time.Time) []WantedAge {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ages []WantedAge
	for model, named := range d.wanted {
		for _, w := range named {
			ages = append(ages, WantedAge{Wanted: Wanted{Model: model, Version: w.version}, Age: now.Sub(w.since)})
		}
	}
	return ages
}

// NoteWantedAge takes in how long another instance knows a version to have been wanted. An instance that has just started
// would count from its own start.
func (d *Directory) NoteWantedAge(now time.Time, age WantedAge) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	since := now.Add(-age.Age)
	named := d.wanted[age.Model]
	at, known := slices.BinarySearchFunc(named, age.Version, func(w wantedVersion, version int64) int {
		return cmp.Compare(w.version, version)
	})
	if known {
		if since.Before(named[at].since) {
			named[at].since = since
		}
		return
	}
	d.wanted[age.Model] = slices.Insert(named, at, wantedVersion{version: age.Version, since: since})
}

// A WantedAge tells how long a version has been wanted.
type WantedAge struct {
	Wanted
	Age time.Duration
}

// maxNamed is the number of named versions that are remembered beside the newest.
const maxNamed = 8

// OutdatedFor returns how long a newer version of the model's weights than the given one has been wanted.
func (d *Directory) OutdatedFor(now time.Time, model string, version int64) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.outdatedFor(now, model, version)
}

// outdatedFor must be called with the mutex held.
func (d *Directory) outdatedFor(now time.Time, model string, version int64) time.Duration {
	for _, w := range d.wanted[model] {
		if w.version > version {
			return now.Sub(w.since)
		}
	}
	return 0
}

// LongestOutdated returns how long the server that is furthest behind has lacked newer weights.
func (d *Directory) LongestOutdated(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range d.All() {
		for model, version := range s.Versions {
			longest = max(longest, d.OutdatedFor(now, model, version))
		}
	}
	return longest
}

// WantedVersions returns the wanted version of each model.
func (d *Directory) WantedVersions() map[string]int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	versions := make(map[string]int64, len(d.wanted))
	for model, named := range d.wanted {
		versions[model] = named[len(named)-1].version
	}
	return versions
}

// Displaced notes that another server has the address of this one, which is gone therefore.
func (d *Directory) Displaced(server string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, ok := d.servers[server]; ok && !d.displaced[server] {
		d.displaced[server] = true
		d.log.Info().Str("server", server).Msg("fleet: another server has the address")
	}
}

// SetClosing replaces the servers that are about to change their weights.
func (d *Directory) SetClosing(servers []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing = make(map[string]bool, len(servers))
	for _, s := range servers {
		d.closing[s] = true
	}
}

// A Candidate is a server that a request may go to.
type Candidate struct {
	Server
	// IsClosing tells that it is about to change its weights.
	IsClosing bool
	// OutdatedFor is how long newer weights of the request's model have been wanted.
	OutdatedFor time.Duration
}

// Candidates returns the servers of the service with what matters to a request for the model, ordered by identity. Those that
// leave are left out.
func (d *Directory) Candidates(now time.Time, service, model string) []Candidate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	candidates := make([]Candidate, 0, len(d.servers))
	for _, s := range d.servers {
		if s.Service != service || s.IsLeaving || d.displaced[s.ID] {
			continue
		}
		c := Candidate{Server: s, IsClosing: d.closing[s.ID]}
		if model != "" {
			c.OutdatedFor = d.outdatedFor(now, model, s.Versions[model])
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return strings.Compare(a.ID, b.ID) })
	return candidates
}

// All returns all servers that do not leave.
func (d *Directory) All() []Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	servers := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		if !s.IsLeaving && !d.displaced[s.ID] {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

// Server returns the server of the identity.
func (d *Directory) Server(id string) (Server, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.servers[id]
	return s, ok
}
