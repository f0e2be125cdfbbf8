// Package lrsettings reads the settings of an instance from an INI file.
package lrsettings

import "time"

// Settings are the settings of one instance. Their sections and keys in the INI file have the names of the fields,
// in camel case.
type Settings struct {
	Instance Instance
	Platform Platform
	Peers    Peers
	Server   Server
	Routing  Routing
	Limits   Limits
	Keys     Keys
	Paid     Paid
	Orders   Orders
	Retries  Retries
	TLS      TLS
	Log      Log
}

// Instance says who the instance is and where it listens.
type Instance struct {
	// Name is the name of the instance, which no other has.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Address is where callers are served, as IP:port.
	Address string
	// AdminAddress is where operators and the metrics collector are served, as IP:port.
	AdminAddress string
	// PeerAddress is where the other instances are served, as IP:port.
	PeerAddress string
	// PeerAdvertised is where the other instances call this one, as IP:port. Empty means PeerAddress.
	PeerAdvertised string
	// MetricsAddress is a further address of the metrics, as IP:port. Empty means that there is none.
	MetricsAddress string
	// FirstStart tells that the deployment starts for the first time, so that no allowance has been used.
	FirstStart bool
	// Strength is the instance's part of a processor. Stronger instances do more of the work between instances.
	Strength float64
}

// Platform says how the platform's object API is reached.
type Platform struct {
	// URL is where the platform's object API is served.
	URL string
	// CallTimeout bounds each call other than a watch.
	CallTimeout time.Duration
	// ListInterval is the time between readings of the list of instances.
	ListInterval time.Duration
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration
	// Watchers is the number of instances that watch the platform for the others.
	Watchers int
	// InstanceInterval is the time between two readings of the list of instances by all instances together.
	InstanceInterval time.Duration
	// ServerInterval is the time between two readings of the backend servers by all instances together.
	ServerInterval time.Duration
	// RefreshInterval is the time between two readings of a whole list by all instances together.
	RefreshInterval time.Duration
}

// Peers says how other instances are found while the platform is down.
type Peers struct {
	// Seeds are peer addresses that are tried in addition to the platform's list.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// Fanout is the number of instances that each heartbeat goes to.
	Fanout int
	// WatchersPerZone is the number of instances in each zone that watch the platform for the others.
	WatchersPerZone int
}

// Server bounds what callers may send and how long they may take.
type Server struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeldBytes bounds the bodies and answers that an instance on the platform holds at a time.
	MaxHeldBytes int
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds how long the header of a request may take to arrive.
	HeaderTimeout time.Duration
	// BodyTimeout bounds how long the body of a request may take to arrive.
	BodyTimeout time.Duration
	// IdleTimeout bounds how long a connection may be kept without a request.
	IdleTimeout time.Duration
	// StreamTimeout bounds a whole request with its answer.
	StreamTimeout time.Duration
	// WriteTimeout is the longest that a caller may take for one event of a stream or for a whole answer.
	WriteTimeout time.Duration
	// DrainDelay is the time between the end of readiness and the end of listening at a planned stop.
	DrainDelay time.Duration
	// DrainTimeout bounds how long a planned stop waits for running requests.
	DrainTimeout time.Duration
	// MaxConnectionsPerAccount bounds the requests that one client account may have open on this instance.
	MaxConnectionsPerAccount int
}

// Routing says how requests are placed on engines.
type Routing struct {
	// LoadInterval is the time between two questions for the load of an engine.
	LoadInterval time.Duration
	// EventTimeout is the longest silence within a stream before the engine counts as frozen.
	EventTimeout time.Duration
	// MaxAttempts is the most engines that one request is sent to.
	MaxAttempts int
	// QueueTokens is the most prompt tokens that may wait in this instance.
	QueueTokens int
	// QueueTimeout is the longest that a request waits for its turn.
	QueueTimeout time.Duration
	// EngineTokens is the most prompt tokens that are in flight to one engine from all instances together. Each
	// instance takes an equal share of the sum over all engines.
	EngineTokens int
	// BeliefBytes is the size of the table of what engines have cached.
	BeliefBytes int
	// PrefillPerSecond is the number of prompt tokens that an engine computes in a second.
	PrefillPerSecond int
}

// Limits says how tokens are granted.
type Limits struct {
	// GrantValidity is how long a grant of tokens can be used.
	GrantValidity time.Duration
	// LeaseValidity is how long an instance grants tokens after its place has been confirmed.
	LeaseValidity time.Duration
	// MaxWait is the longest that a request waits for tokens before it is refused.
	MaxWait time.Duration
}

// Keys says how withdrawn keys are dealt with.
type Keys struct {
	// StaleBound is how long an instance that can reach neither platform nor peers goes on accepting keys.
	// Zero means without end.
	StaleBound time.Duration
}

// Paid says how paid actions are kept.
type Paid struct {
	// Retention is how long the records of settled paid actions are kept.
	Retention time.Duration
	// CallTimeout bounds the call of a paid action to its service.
	CallTimeout time.Duration
}

// Orders says how engines are given orders.
type Orders struct {
	// Interval is the time between two looks at the engines.
	Interval time.Duration
	// LeaseValidity is how long an instance may give orders after each confirmation by the platform.
	LeaseValidity time.Duration
	// CallTimeout bounds each order.
	CallTimeout time.Duration
	// ValidFor is how long after its receipt an engine may still carry out an order.
	ValidFor time.Duration
	// Settle is the time after which a changed version is known to every instance.
	Settle time.Duration
	// MinAtOnce is the number of engines that may always take new weights at the same time.
	MinAtOnce int
	// Share is the part of a model's engines that may take new weights at the same time.
	Share float64
	// LateShare is that part once weights have been outdated for LateAfter. Their requests are not waited for any more.
	LateShare float64
	LateAfter time.Duration
}

// Retries bounds how often requests are sent once more, over all instances.
type Retries struct {
	// Share is the part of the requests that may be sent once more.
	Share float64
	// Extra is the number of further sendings within a window that all instances together may use.
	Extra int
	// Window is the time within which requests and sendings are counted.
	Window time.Duration
}

// TLS names certificate files. Empty names mean plain TCP.
type TLS struct {
	// CertFile is the certificate that callers see.
	CertFile string
	// KeyFile is the private key of CertFile.
	KeyFile string
	// CAFile holds the authorities whose certificates callers must show.
	CAFile string
	// PeerCertFile is the certificate that other instances see.
	PeerCertFile string
	// PeerKeyFile is the private key of PeerCertFile.
	PeerKeyFile string
	// PeerCAFile holds the authorities of the other instances' certificates.
	PeerCAFile string
	// PlatformCA holds the authorities of the platform's certificate.
	PlatformCA string
}

// Log says how logs are written.
type Log struct {
	// Format is "json" or "console".
	Format string
	// Level is a zerolog level.
	Level string
	// LinesPerSecond is the most log lines that an instance on the platform writes a second. Failures go before what went
	// well. Zero means no bound.
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
		},
		Peers: Peers{HeartbeatInterval: 500 * time.Millisecond, Fanout: 3, WatchersPerZone: 2},
		Server: Server{
			MaxBodyBytes: 16 << 20, MaxHeldBytes: 16 << 20, MaxHeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second,
			BodyTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute, StreamTimeout: 10 * time.Minute, WriteTimeout: 10 * time.Second,
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
		},
		Retries: Retries{Share: 0.15, Extra: 40, Window: 10 * time.Second},
		Paid:    Paid{Retention: 30 * 24 * time.Hour, CallTimeout: 30 * time.Second},
		Log:     Log{Format: "json", Level: "info", LinesPerSecond: 400},
	}
}
