package lrplatform

// A Role says what an instance does.
type Role string

const (
	// RoleRouter marks an instance of the daemon.
	RoleRouter Role = "router"
	// RoleEngine marks a backend server that runs models.
	RoleEngine Role = "engine"
	// RoleService marks a backend server that runs a plain service.
	RoleService Role = "service"
	// RoleKVStore marks a backend server that keeps exported KV cache.
	RoleKVStore Role = "kvStore"
)

// An Instance is one entry of the platform's lagging list.
type Instance struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Address is the HTTP address, as IP:port.
	Address string `json:"address"`
	// PeerAddress is the gRPC address of a router, as IP:port.
	PeerAddress string `json:"peerAddress,omitempty"`
	// AdminAddress is the HTTP address at which a router answers operators, as IP:port.
	AdminAddress string `json:"adminAddress,omitempty"`
	Zone         string `json:"zone"`
	// Service names the plain service that a backend server belongs to.
	Service string `json:"service,omitempty"`
	// Models names the models that an engine may serve.
	Models []string `json:"models,omitempty"`
	// Leaving instances get no new work.
	Leaving bool `json:"leaving"`
	// ChecksFencing tells that the backend server refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing"`
}
