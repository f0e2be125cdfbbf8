package lrplatform

// A Role is the kind of work that an instance does.
type Role string

const (
	// RoleRouter is an instance of the router.
	RoleRouter Role = "router"
	// RoleEngine is a backend server that runs models.
	RoleEngine Role = "engine"
	// RoleService is a backend server that runs a plain service.
	RoleService Role = "service"
	// RoleKVStore is a backend server that stores KV cache exported by engines.
	RoleKVStore Role = "kvStore"
)

func (r Role) isKnown() bool {
	return r == RoleRouter || r == RoleEngine || r == RoleService || r == RoleKVStore
}

// An Instance is one entry of the platform's list of instances, which may be stale.
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
	// Leaving means that the instance gets no new work.
	Leaving bool `json:"leaving"`
	// ChecksFencing means that the backend server refuses orders with an outdated fencing number.
	ChecksFencing bool `json:"checksFencing"`
}
