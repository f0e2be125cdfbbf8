// Package lrfleet holds what an instance knows of the deployment: the routing table, the backend servers, the weights
// that are wanted and the other instances. It learns this from the platform, and from other instances while the
// platform is out of reach.
package lrfleet

import "maps"

// A Server is one backend server as the platform lists it.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that it processes at once.
	Slots int `json:"slots"`
	// IsLeaving servers take no new requests.
	IsLeaving bool `json:"isLeaving"`
	// Born tells the starts of one server apart.
	Born int64 `json:"born"`
	// Versions maps each loaded model to the version of its weights.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// WithVersion returns the server with another version of the model.
func (s Server) WithVersion(model string, version int64) Server {
	versions := maps.Clone(s.Versions)
	if versions == nil {
		versions = map[string]int64{}
	}
	versions[model] = version
	s.Versions = versions
	return s
}

// An Instance is one router instance as it is registered in the platform.
type Instance struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peerAddress"`
	// Process tells the starts of one instance apart.
	Process string `json:"process"`
	// Strength is its part of a processor. Stronger instances rather serve as relay of their zone.
	Strength float64 `json:"strength"`
}

// Wanted names the version of a model's weights that engines shall have.
type Wanted struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}
