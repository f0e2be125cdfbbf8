// Package lrsettings reads the settings of an instance from an INI file.
package lrsettings

import "time"

// Settings are the settings of one instance. The names of the fields, in camel case, are the sections and keys of the INI
// file.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Peers     Peers
	Server    Server
	Routing   Routing
	Limits    Limits
	Keys      Keys
	Paid      Paid
	Orders    Orders
	Retries   Retries
	Admission Admission
	Rollouts  Rollouts
	TLS       TLS
	Log       Log
}

// Instance identifies the instance and states where it listens.
type Instance struct {
	// Name is the unique name of the instance.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Address is where callers are served, as IP:port.
	Address string
	// AdminAddress is where operators and the metrics collector are served, as IP:port.
	AdminAddress string
	// PeerAddress is where the other instances are served, as IP:port.
	PeerAddress string
	// PeerAdvertised is the address at which the other instances call this one, as IP:port. Empty means PeerAddress.
	PeerAdvertised string
	// MetricsAddress is an additional address that serves the metrics, as IP:port. Empty means none.
	MetricsAddress string
	// FirstStart states that the deployment starts for the first time, so that no account has used any tokens.
	FirstStart bool
	// Strength is the part of a processor that the instance has. Instances with a higher value do more of the work between
	// instances.
	Strength float64
	// MemoryMB is the memory of the machine in megabytes. Zero means that it is unknown.
	MemoryMB float64
	// MaxDescriptors is the most descriptors that the process may open. Zero means the limit of the process.
	MaxDescriptors int
}

// Platform configures the access to the platform's object API.
type Platform struct {
	// URL is the URL of the platform's object API.
	URL string
	// CallTimeout bounds each call other than a watch.
	CallTimeout time.Duration
	// ListInterval is the time between two reads of the list of instances.
	ListInterval time.Duration
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// Watchers is the number of instances that watch the platform for the others.
	Watchers int
	// InstanceInterval is the time between two reads of the list of instances by all instances together.
	InstanceInterval time.Duration
	// ServerInterval is the time between two reads of the backend servers by all instances together.
	ServerInterval time.Duration
	// RefreshInterval is the time between two reads of a whole list by all instances together.
	RefreshInterval time.Duration
	// HeartbeatInterval is the time between two heartbeats of a backend server. The platform removes its entry after three without one.
	HeartbeatInterval time.Duration
}

// Peers configures how other instances are found while the platform is down.
type Peers struct {
	// Seeds are peer addresses that are tried in addition to the platform's list.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// Fanout is the number of instances to which each heartbeat is sent.
	Fanout int
	// WatchersPerZone is the number of instances in each zone that watch the platform for the others.
	WatchersPerZone int
}

// Server bounds what callers may send and how long they may take.
type Server struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the memory for the heads and bodies of requests, and on the platform for responses, that an instance holds at a
	// time, beyond 16 KB for each connection.
	MaxHeldBytes int
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxHeaderLines bounds the lines of the header of a request. Zero means as many as MaxHeaderBytes can hold.
	MaxHeaderLines int
	// MaxConnections bounds the connections of callers. Zero means as many as the descriptors and the memory suffice for.
	MaxConnections int
	// HeaderTimeout bounds how long the header of a request may take to arrive.
	HeaderTimeout time.Duration
	// BodyTimeout bounds how long the body of a request may take to arrive.
	BodyTimeout time.Duration
	// IdleTimeout bounds how long a connection is kept open without a request.
	IdleTimeout time.Duration
	// StreamTimeout bounds a whole request with its response.
	StreamTimeout time.Duration
	// WriteTimeout is the longest that a caller may take to receive one event of a stream or a whole response.
	WriteTimeout time.Duration
	// StallTimeout is the longest that a caller may receive no byte of a response that is ready. Zero means no bound.
	StallTimeout time.Duration
	// DrainDelay is the time between the end of readiness and the end of listening in a graceful shutdown.
	DrainDelay time.Duration
	// DrainTimeout bounds how long a graceful shutdown waits for running requests.
	DrainTimeout time.Duration
	// MaxConnectionsPerAccount bounds the requests that one client account may have open on this instance.
	MaxConnectionsPerAccount int
}

// Routing configures how requests are placed on engines.
type Routing struct {
	// LoadInterval is the time between two reads of the load of an engine.
	LoadInterval time.Duration
	// EventTimeout is the longest time between two events of a stream before the engine counts as frozen.
	EventTimeout time.Duration
	// MaxAttempts is the most engines that one request is sent to.
	MaxAttempts int
	// QueueTokens is the most prompt tokens that may wait in this instance.
	QueueTokens int
	// QueueTimeout is the longest that a request waits in the queue.
	QueueTimeout time.Duration
	// EngineTokens is the most prompt tokens that are in flight to one engine from all instances together. Each
	// instance takes an equal share of the sum over all engines.
	EngineTokens int
	// BeliefBytes is the size of the cache estimate, the table of what the engines' caches are assumed to hold.
	BeliefBytes int
	// PrefillPerSecond is the number of prompt tokens that an engine prefills in a second.
	PrefillPerSecond int
}

// Limits configures how tokens are granted.
type Limits struct {
	// GrantValidity is how long a grant of tokens can be used.
	GrantValidity time.Duration
	// LeaseValidity is how long an instance may grant tokens after its lease as a home has been confirmed.
	LeaseValidity time.Duration
	// MaxWait is the longest that a request waits for tokens before it is refused.
	MaxWait time.Duration
}

// Keys bounds how long a withdrawn key may still be accepted.
type Keys struct {
	// StaleBound is how long an instance that can reach neither the platform nor a peer continues to accept keys.
	// Zero means no bound.
	StaleBound time.Duration
}

// Paid configures paid actions.
type Paid struct {
	// Retention is how long the records of settled paid actions are kept.
	Retention time.Duration
	// CallTimeout bounds the call of a paid action to its service.
	CallTimeout time.Duration
}

// Orders configures how engines are given orders.
type Orders struct {
	// Interval is the time between two checks of the engines.
	Interval time.Duration
	// LeaseValidity is how long an instance may give orders after each confirmation by the platform.
	LeaseValidity time.Duration
	// TurnInterval is how long after its last order an instance gives no more once another one has given orders. Zero means LeaseValidity.
	TurnInterval time.Duration
	// CallTimeout bounds the call of each order.
	CallTimeout time.Duration
	// ValidFor is how long after its receipt an engine may still execute an order.
	ValidFor time.Duration
	// Settle is the time after which a changed version is assumed to be known to every instance.
	Settle time.Duration
	// MinAtOnce is the number of a model's engines that may always load new weights at the same time.
	MinAtOnce int
	// Share is the fraction of a model's engines that may load new weights at the same time.
	Share float64
	// LateShare is that fraction once weights have been outdated for LateAfter. An engine whose weights are outdated that
	// long does not wait for its running requests either.
	LateShare float64
	// LateAfter is the time for which weights must have been outdated before LateShare applies.
	LateAfter time.Duration
	// VersionDeadline is how long after newer weights were named a request may still begin on older ones. Zero means that no deadline is
	// known, and that the limits of fast engines apply.
	VersionDeadline time.Duration
	// UnknownAgeGrace is the time from the start of an instance to the deadline of weights that were named before the start, while no other
	// instance tells when they were. It has no effect without a VersionDeadline.
	UnknownAgeGrace time.Duration
}

// Turn returns the turn interval.
func (o Orders) Turn() time.Duration {
	if o.TurnInterval > 0 {
		return o.TurnInterval
	}
	return o.LeaseValidity
}

// Retries bounds how often requests are retried, over all instances.
type Retries struct {
	// Share is the fraction of the requests that may be retried.
	Share float64
	// Extra is the number of additional retries within a window that all instances together may use.
	Extra int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// Admission configures which requests are sent when there is too little capacity.
type Admission struct {
	// Enabled states that a request on the platform that is not expected to be served in time is refused. Without it all requests are sent.
	Enabled bool
}

// Rollouts bounds what a bad version of a service may do while the traffic moves to it.
type Rollouts struct {
	// ExposureShare is the share of the requests of the service that a bad version may get. Zero means that there are no roll-outs.
	ExposureShare float64
}

// TLS names certificate files. Empty names mean plain TCP.
type TLS struct {
	// CertFile is the certificate presented to callers.
	CertFile string
	// KeyFile is the private key of CertFile.
	KeyFile string
	// CAFile holds the certificate authorities of which one must have issued a caller's certificate.
	CAFile string
	// PeerCertFile is the certificate presented to other instances.
	PeerCertFile string
	// PeerKeyFile is the private key of PeerCertFile.
	PeerKeyFile string
	// PeerCAFile holds the certificate authorities of the other instances' certificates.
	PeerCAFile string
	// PlatformCA holds the certificate authorities of the platform's certificate.
	PlatformCA string
}

// Log configures how logs are written.
type Log struct {
	// Format is "json" or "console".
	Format string
	// Level is a zerolog level.
	Level string
	// LinesPerSecond is the most log lines that an instance on the platform writes a second. Lines about failures take
	// precedence over others. Zero means no bound.
	LinesPerSecond int
}

// Default returns the settings with every default filled in.
func Default() Settings {
	return Settings{
		Instance: Instance{
			Address: "127.0.0.1:8080", AdminAddress: "127.0.0.1:8081", PeerAddress: "127.0.0.1:8082",
		},
		Platform: Platform{
			CallTimeout: 2 * time.Second, ListInterval: time.Second,
			WatchWait: 20 * time.Second, Watchers: 8, InstanceInterval: 2 * time.Second,
			ServerInterval: 400 * time.Millisecond, RefreshInterval: 800 * time.Millisecond,
			HeartbeatInterval: 1200 * time.Millisecond,
		},
		Peers: Peers{HeartbeatInterval: 500 * time.Millisecond, Fanout: 3, WatchersPerZone: 2},
		Server: Server{
			MaxBodyBytes: 16 << 20, MaxHeldBytes: 32 << 20, MaxHeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second,
			BodyTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute, StreamTimeout: 10 * time.Minute, WriteTimeout: 10 * time.Second, StallTimeout: 3 * time.Second,
			DrainDelay: 2 * time.Second, DrainTimeout: time.Minute, MaxConnectionsPerAccount: 512,
		},
		Routing: Routing{
			LoadInterval: 500 * time.Millisecond, EventTimeout: 5 * time.Second, MaxAttempts: 4,
			QueueTokens: 4_000_000, QueueTimeout: 20 * time.Second, EngineTokens: 64_000, BeliefBytes: 32 << 20,
			PrefillPerSecond: 85_000,
		},
		Limits: Limits{GrantValidity: time.Second, LeaseValidity: 15 * time.Second, MaxWait: 2 * time.Second},
		Orders: Orders{
			Interval: time.Second, LeaseValidity: 15 * time.Second, CallTimeout: 3 * time.Second,
			ValidFor: 2 * time.Second, Settle: 5 * time.Second, MinAtOnce: 2, Share: 0.34, LateShare: 0.5, LateAfter: 2800 * time.Millisecond,
			UnknownAgeGrace: 3 * time.Second,
		},
		Retries:   Retries{Share: 0.15, Extra: 40, Window: 10 * time.Second},
		Admission: Admission{Enabled: true},
		Paid:      Paid{Retention: 30 * 24 * time.Hour, CallTimeout: 30 * time.Second},
		Log:       Log{Format: "json", Level: "info", LinesPerSecond: 400},
	}
}
