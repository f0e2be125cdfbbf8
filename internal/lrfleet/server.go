// Package lrfleet holds what a router instance knows of its deployment: the routing table, the backend servers, the desired versions of
// model weights and the other instances.
//
// The platform delivers this as feeds. A Follower reads one feed with lists and watches, and a Directory answers the request path from
// the result. While the platform is unreachable, instances read feeds from one another.
//
// A Sharer exchanges state with the other instances. In each availability zone the strongest instance that answers is the relay. The
// others report to it, and it answers with the totals over all other instances; the relays of the zones exchange the totals of their
// zones. The state holds loads of backend servers, usage of allowances and updates, which are facts that every instance receives at least
// once and applies once: crashes, new weights, the status of KV stores.
//
// An allowance is the rate and burst of a client account. All instances together enforce it with a token bucket for each account, and the
// level is what is left in that bucket. A KV store is an external store from which engines load key/value cache of prompt prefixes. A
// rollout replaces the weights of engines step by step: the holder of its lease sends orders to the engines, and an engine is closing
// while it is about to get one.
package lrfleet

import "maps"

// A Server is one backend server as the platform lists it.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Release is the version of the server's software.
	Release string `json:"release,omitempty"`
	// Slots is the number of requests that the server processes at once.
	Slots int `json:"slots"`
	// IsLeaving is set for servers that take no new requests.
	IsLeaving bool `json:"isLeaving"`
	// Incarnation differs between two starts of one server. It is a Unix time in milliseconds.
	Incarnation int64 `json:"born"`
	// Versions maps each loaded model to the version of its weights.
	Versions map[string]int64 `json:"versions,omitempty"`
	// hasSaidLeaving is set when the server itself has said in an answer that it is leaving.
	hasSaidLeaving bool
	// listed maps each model to the version of its weights that the list named last, and takenBack to the one that the list has taken back:
	// the server has gone back to an earlier one since.
	listed    map[string]int64
	takenBack map[string]int64
}

// WithVersion returns a copy of the server that has the given version of the model's weights.
func (s Server) WithVersion(model string, version int64) Server {
	versions := maps.Clone(s.Versions)
	if versions == nil {
		versions = map[string]int64{}
	}
	versions[model] = version
	s.Versions = versions
	return s
}

// withTakenBack returns a copy of the server whose list has taken back the version of the model's weights. Zero means none.
func (s Server) withTakenBack(model string, version int64) Server {
	takenBack := maps.Clone(s.takenBack)
	if takenBack == nil {
		takenBack = map[string]int64{}
	}
	delete(takenBack, model)
	if version > 0 {
		takenBack[model] = version
	}
	s.takenBack = takenBack
	return s
}

// LaterServer returns the server with what is known of both states of its entry, of which one may be from an older copy of the platform's
// store. A start of a server that leaves does not stay after all, and its weights do not become older.
func LaterServer(known, listed Server) Server {
	if known.Incarnation != listed.Incarnation {
		if known.Incarnation > listed.Incarnation {
			return known
		}
		return listed
	}
	listed.IsLeaving = listed.IsLeaving || known.IsLeaving
	for model, version := range known.Versions {
		if version > listed.Versions[model] {
			listed = listed.WithVersion(model, version)
		}
	}
	return listed
}

// An Instance is a router instance as it is registered in the platform.
type Instance struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	// Process differs between two starts of one instance.
	Process string `json:"process"`
	// Strength is the instance's share of a CPU. Stronger instances are preferred as the relay of their zone.
	Strength float64 `json:"strength"`
}

// DesiredVersion is the version of a model's weights that engines should run.
type DesiredVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}
