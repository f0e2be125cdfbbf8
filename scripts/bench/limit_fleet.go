package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgrant"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	limitZones     = 3
	limitInstances = 9
	// platformLatency is the duration of a platform call.
	platformLatency = 2 * time.Millisecond
)

// meteredPlatform is an in-memory platform with latency and a call counter that can be made unavailable.
type meteredPlatform struct {
	*lrplatform.Memory
	calls atomic.Uint64
	down  atomic.Bool
}

func (p *meteredPlatform) call() error {
	p.calls.Add(1)
	time.Sleep(platformLatency)
	if p.down.Load() {
		return lrplatform.ErrUnavailable.New("down")
	}
	return nil
}

// Get counts the call and reads an object.
func (p *meteredPlatform) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	err := p.call()
	if err != nil {
		return lrplatform.Object{}, err
	}
	return p.Memory.Get(ctx, kind, name)
}

// Create counts the call and creates an object.
func (p *meteredPlatform) Create(ctx context.Context, kind, name string, value []byte) (lrplatform.Object, error) {
	err := p.call()
	if err != nil {
		return lrplatform.Object{}, err
	}
	return p.Memory.Create(ctx, kind, name, value)
}

// Update counts the call and updates an object if its version matches.
func (p *meteredPlatform) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	err := p.call()
	if err != nil {
		return lrplatform.Object{}, err
	}
	return p.Memory.Update(ctx, object)
}

// limitFleet is a set of limiters, one per instance, with the platform and the counters of messages and bytes.
type limitFleet struct {
	platform *meteredPlatform
	limiters []lrlimit.Limiter
	messages func() uint64
	bytes    *atomic.Uint64
	stop     func()
}

func newLimitPlatform() *meteredPlatform { return &meteredPlatform{Memory: lrplatform.NewMemory()} }

// newEqualShareFleet returns limiters that give every instance a fixed, equal share of the limits.
func newEqualShareFleet() (*limitFleet, error) {
	f := &limitFleet{platform: newLimitPlatform(), messages: func() uint64 { return 0 }, bytes: &atomic.Uint64{}, stop: func() {}}
	for range limitInstances {
		f.limiters = append(f.limiters, lrlimit.NewLocal(1.0/limitInstances))
	}
	return f, nil
}

// newStoreCounterFleet returns limiters that keep the token buckets in the platform, and fall back to equal shares while it
// is unavailable.
func newStoreCounterFleet() (*limitFleet, error) {
	f, err := newEqualShareFleet()
	for n, fallback := range f.limiters {
		f.limiters[n] = &storeCounter{platform: f.platform, fallback: fallback}
	}
	return f, err
}

type storeCounter struct {
	platform *meteredPlatform
	fallback lrlimit.Limiter
}

type storedCount struct {
	Tokens  float64   `json:"tokens"`
	Updated time.Time `json:"updated"`
}

// Reserve deducts the tokens by a conditional update of the account's counter. It retries after a conflict.
func (s *storeCounter) Reserve(ctx context.Context, now time.Time, r lrlimit.Request) (lrlimit.Reservation, error) {
	for {
		object, err := s.platform.Get(ctx, lrplatform.KindStatus, r.Account)
		if lrplatform.ErrUnavailable.Has(err) {
			return s.fallback.Reserve(ctx, now, r)
		}
		count := storedCount{Tokens: r.Burst, Updated: now}
		if err == nil {
			err = json.Unmarshal(object.Value, &count)
			if err != nil {
				return nil, err
			}
		}
		passed := max(now.Sub(count.Updated).Seconds(), 0)
		left := min(count.Tokens+passed*r.Rate, r.Burst) - r.Tokens
		if left < 0 {
			return nil, lrlimit.RateLimited(r.Account, time.Second)
		}
		value, err := json.Marshal(storedCount{Tokens: left, Updated: now})
		if err != nil {
			return nil, err
		}
		if object.Version == 0 {
			_, err = s.platform.Create(ctx, lrplatform.KindStatus, r.Account, value)
		} else {
			_, err = s.platform.Update(ctx, object.WithValue(value))
		}
		switch {
		case err == nil:
			return settled{}, nil
		case lrplatform.ErrUnavailable.Has(err):
			return s.fallback.Reserve(ctx, now, r)
		}
	}
}

type settled struct{}

// Settle does nothing, because the counter isn't corrected.
func (settled) Settle(time.Time, float64) {}

// newGrantFleet starts the router's own limiters: each account's home grants tokens to the other instances by gRPC.
func newGrantFleet() (*limitFleet, error) {
	f := &limitFleet{platform: newLimitPlatform(), bytes: &atomic.Uint64{}}
	ctx, cancel := context.WithCancel(context.Background())
	pool := lrpeer.NewPool(insecure.NewCredentials())
	var servers []*grpc.Server
	f.stop = func() {
		cancel()
		for _, s := range servers {
			s.Stop()
		}
		pool.Close()
	}
	listed, listeners, err := listenAll()
	if err != nil {
		return f, err
	}
	f.platform.SetInstances(listed)
	var limiters []*lrgrant.Limiter
	for n, i := range listed {
		limiter, server := startLimiter(ctx, f, i, pool)
		servers = append(servers, server)
		limiters = append(limiters, limiter)
		f.limiters = append(f.limiters, limiter)
		listener := countingListener{Listener: listeners[n], bytes: f.bytes}
		go func() { _ = server.Serve(listener) }()
	}
	f.messages = func() uint64 {
		var sent uint64
		for _, l := range limiters {
			sent += l.Sent()
		}
		return sent
	}
	return f, nil
}

func listenAll() ([]lrplatform.Instance, []net.Listener, error) {
	var listed []lrplatform.Instance
	var listeners []net.Listener
	for n := range limitInstances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, listener)
		listed = append(listed, lrplatform.Instance{
			Name: fmt.Sprint("router-", n), Role: lrplatform.RoleRouter, Zone: fmt.Sprint("zone-", n%limitZones),
			PeerAddress: listener.Addr().String(),
		})
	}
	return listed, listeners, nil
}

func startLimiter(ctx context.Context, f *limitFleet, i lrplatform.Instance, pool *lrpeer.Pool) (*lrgrant.Limiter, *grpc.Server) {
	defaults := lrsettings.Default().Limits
	options := lrgrant.Options{
		Self: lrlimit.Member{Name: i.Name, Incarnation: 1, Address: i.PeerAddress}, Zone: i.Zone,
		LeaseValidity: defaults.LeaseValidity, GrantValidity: defaults.GrantValidity, MaxWait: defaults.MaxWait,
	}
	keeper := lrgrant.NewViewKeeper(options, lrgrant.Dependencies{
		Clock: time.Now, Platform: f.platform, Directory: f.platform, Pool: pool, Log: zerolog.Nop(),
		Candidates:        func(context.Context) []lrpeer.Member { return nil },
		RecordViolation:   func(string) { panic("the limiter has violated an invariant") },
		RefusedInsideRate: func() {},
	})
	service := lrgrant.NewServer(keeper)
	limiter := lrgrant.NewLimiter(keeper, service)
	server := grpc.NewServer()
	lrpeerpb.RegisterLimitServer(server, service)
	go func() { _ = keeper.Run(ctx) }()
	go func() { _ = limiter.RunPrefetch(ctx) }()
	go func() {
		ticker := time.NewTicker(limiter.ReportPeriod())
		defer ticker.Stop()
		for ctx.Err() == nil {
			limiter.Report(ctx, <-ticker.C)
		}
	}()
	return limiter, server
}

// countingListener counts the bytes of its connections in both directions. Only the accepting side counts.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

// Accept returns the next connection, whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConnection{Conn: connection, bytes: l.bytes}, nil
}

type countingConnection struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read counts the received bytes.
func (c countingConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write counts the sent bytes.
func (c countingConnection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(uint64(n))
	return n, err
}
