package lrfleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// A Directory answers the request path's questions about routing, backend servers and versions of model weights. It is safe for use by
// several goroutines.
type Directory struct {
	log   zerolog.Logger
	table atomic.Pointer[lrtable.Table]

	mutex   sync.Mutex
	servers map[string]Server
	closing map[string]bool
	// desired holds the known desired versions of each model in ascending order.
	desired map[string][]desiredVersion
	// displaced holds servers whose address another server has taken over. Each stays here until the list omits it or shows another
	// start of it.
	displaced map[string]bool
	// withoutMemory are the services of engines whose memory the routing table in force does not name.
	withoutMemory []string
	// onRestart functions are called with servers that have lost their cache.
	onRestart []func(server string)
}

// NewDirectory returns an empty Directory.
func NewDirectory(log zerolog.Logger) *Directory {
	return &Directory{log: log, servers: map[string]Server{}, closing: map[string]bool{}, desired: map[string][]desiredVersion{}, displaced: map[string]bool{}}
}

// OnRestart registers a function that is called with each server that has restarted or changed its weights.
func (d *Directory) OnRestart(call func(server string)) { d.onRestart = append(d.onRestart, call) }

// Table returns the active routing table, or nil before the first one is known.
func (d *Directory) Table() *lrtable.Table { return d.table.Load() }

// SetSpec applies a routing table. Versions up to the active one are ignored.
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
	d.logMissingMemory(spec)
}

// logMissingMemory logs the services of engines whose memory is not known, when they have changed. It must be called with the mutex held.
func (d *Directory) logMissingMemory(spec lrtable.Spec) {
	var missing []string
	for _, s := range spec.Services {
		if s.Slots > 0 && s.Memory == 0 {
			missing = append(missing, s.Name)
		}
	}
	if len(missing) > 0 && !slices.Equal(missing, d.withoutMemory) {
		d.log.Info().Strs("services", missing).Msg("fleet: memory of engines is not known")
	}
	d.withoutMemory = missing
}

// SetServers replaces the list of backend servers. It calls the OnRestart functions for servers that have restarted.
func (d *Directory) SetServers(listed map[string]Server) {
	d.mutex.Lock()
	var restarted []string
	servers := make(map[string]Server, len(listed))
	for id, s := range listed {
		before, known := d.servers[id]
		s = merge(before, s)
		servers[id] = s
		if known && before.Incarnation != s.Incarnation {
			restarted = append(restarted, id)
			delete(d.displaced, id)
		}
		if hasGoneBack(before, s) {
			restarted = append(restarted, id)
			d.log.Warn().Str("server", id).Interface("versions", s.Versions).Msg("fleet: backend server has gone back to earlier weights")
		}
		if !known || before.IsLeaving != s.IsLeaving || before.Incarnation != s.Incarnation {
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

// merge keeps what was seen in the server's responses, because the list lags behind them. A version that the list itself named and has taken
// back is not kept: an order that was carried out late has brought the server back to an earlier one.
func merge(before, listed Server) Server {
	listed.listed = listed.Versions
	if before.Incarnation != listed.Incarnation {
		return listed
	}
	listed.hasSaidLeaving = before.hasSaidLeaving
	listed.IsLeaving = listed.IsLeaving || before.hasSaidLeaving
	listed.takenBack = maps.Clone(before.takenBack)
	for model, version := range before.Versions {
		now := listed.listed[model]
		if now >= before.takenBack[model] {
			delete(listed.takenBack, model)
		}
		switch {
		case now >= version:
		case before.listed[model] > now || before.takenBack[model] > now:
			listed = listed.withTakenBack(model, max(version, before.takenBack[model]))
		default:
			listed = listed.WithVersion(model, version)
		}
	}
	return listed
}

// hasGoneBack reports whether a model of the server has earlier weights than before in the same start of the server.
func hasGoneBack(before, after Server) bool {
	if before.Incarnation != after.Incarnation {
		return false
	}
	for model, version := range after.Versions {
		if version < before.Versions[model] {
			return true
		}
	}
	return false
}

// restarted calls the OnRestart functions with the servers. It is called after the mutex is released.
func (d *Directory) restarted(servers ...string) {
	for _, s := range servers {
		for _, call := range d.onRestart {
			call(s)
		}
	}
}

// RecordVersion records the version of a model's weights that a server has reported to an instance. Versions up to the known one, and up to
// one that the list has taken back, are ignored: the report may be older than the list.
func (d *Directory) RecordVersion(server, model string, version int64) {
	d.recordVersion(server, model, version, func(s Server) bool { return version > s.takenBack[model] })
}

// RecordLoaded records the version that a server has just loaded on an order of this instance.
func (d *Directory) RecordLoaded(server, model string, version int64) {
	d.recordVersion(server, model, version, func(Server) bool { return true })
}

func (d *Directory) recordVersion(server, model string, version int64, isCredible func(Server) bool) {
	d.mutex.Lock()
	s, ok := d.servers[server]
	if !ok || s.Versions[model] >= version || !isCredible(s) {
		d.mutex.Unlock()
		return
	}
	d.servers[server] = s.WithVersion(model, version).withTakenBack(model, 0)
	d.mutex.Unlock()
	d.restarted(server)
}

// MarkDisplaced records that another server has taken over the address of this one, which must therefore be gone.
func (d *Directory) MarkDisplaced(server string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, ok := d.servers[server]; ok && !d.displaced[server] {
		d.displaced[server] = true
		d.log.Info().Str("server", server).Msg("fleet: another server has the address")
	}
}

// MarkLeaving records that a start of the server has said itself that it is leaving. The list may show it as ready for longer.
func (d *Directory) MarkLeaving(server string, incarnation int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.servers[server]
	if !ok || s.Incarnation != incarnation || s.hasSaidLeaving {
		return
	}
	s.hasSaidLeaving, s.IsLeaving = true, true
	d.servers[server] = s
	d.log.Info().Str("server", server).Msg("fleet: backend server says that it leaves")
}

// SetClosing replaces the set of servers that are about to change their weights.
func (d *Directory) SetClosing(servers []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.closing = make(map[string]bool, len(servers))
	for _, s := range servers {
		d.closing[s] = true
	}
}

// A Candidate is a server to which a request may be sent.
type Candidate struct {
	Server
	// IsClosing is set when the server is about to change its weights.
	IsClosing bool
	// OutdatedFor is how long newer weights of the request's model have been desired.
	OutdatedFor time.Duration
}

// Candidates returns the servers of the service that may take a request for the model, sorted by ID. Leaving and displaced servers are
// omitted. An empty model leaves OutdatedFor at zero.
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

// All returns the servers that are neither leaving nor displaced, sorted by ID.
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

// Server returns the server with the ID, also when it is leaving or displaced.
func (d *Directory) Server(id string) (Server, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, ok := d.servers[id]
	return s, ok
}
