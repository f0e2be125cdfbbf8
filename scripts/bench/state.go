package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const (
	smallFleet       = 8
	middleFleet      = 96
	largeFleet       = 420
	fleetZones       = 7
	heartbeat        = 500 * time.Millisecond
	settleRounds     = 60
	measuredRounds   = 40
	wireExchanges    = 2000
	controlBytes     = 8192
	controlCore      = 0.037
	recordBytes      = 60
	secondsPerDay    = 86400.0
	changesPerDay    = 1900.0
	fleetAccounts    = 16000
	controlMegabytes = 128
)

// measureState measures the state that instances share: membership, configuration and restarts.
func measureState(ctx context.Context) ([]figure, error) {
	wire, err := measureExchange(ctx)
	if err != nil {
		return nil, err
	}
	var figures []figure
	for _, count := range []int{smallFleet, middleFleet, largeFleet} {
		figures = append(figures, measureFleet(ctx, count, wire)...)
	}
	configuration, err := measureConfiguration(ctx)
	figures = append(figures, configuration...)
	if err != nil {
		return figures, err
	}
	instances, err := measureInstances(ctx)
	return append(figures, instances...), err
}

// wireCost is the cost of one exchange over a connection, both sides together.
type wireCost struct {
	overheadBytes float64
	core          time.Duration
}

// measureExchange measures exchanges over a loopback connection.
func measureExchange(ctx context.Context) (wireCost, error) {
	counted := &countedListener{}
	var err error
	counted.Listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return wireCost{}, err
	}
	address := counted.Addr().String()
	pool := lrpeer.NewPool(insecure.NewCredentials())
	defer pool.Close()
	fleet := newFleet(1, 1)
	server := grpc.NewServer()
	listing := lrpeer.NewInstanceList(nil, fleet.memberships[fleetAddress(0)], pool, lrpeer.InstanceListOptions{Clock: time.Now})
	lrpeerpb.RegisterMembershipServer(server, lrpeer.NewMembershipService(fleet.memberships[fleetAddress(0)], listing))
	go func() { _ = server.Serve(counted) }()
	defer server.Stop()
	exchanger := lrpeer.NewExchanger(pool)
	request := &lrpeerpb.ExchangeRequest{Sender: &lrpeerpb.Member{Name: "router-1", Zone: "zone-1", PeerAddress: "10.0.0.1:8082", Incarnation: 1}}
	started, payload := processTime(), 0
	for range wireExchanges {
		reply, err := exchanger.Exchange(ctx, address, request)
		if err != nil {
			return wireCost{}, err
		}
		payload += proto.Size(request) + proto.Size(reply)
	}
	core := processTime() - started
	return wireCost{
		overheadBytes: float64(int(counted.bytes.Load())-payload) / wireExchanges, core: core / wireExchanges,
	}, nil
}

// processTime returns the CPU time of this process.
func processTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return &countedConn{Conn: connection, bytes: &l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// fleet passes messages between memberships in injected time, and counts them.
type fleet struct {
	memberships map[string]*lrpeer.Membership
	count       int
	mutex       sync.Mutex
	now         time.Time
	exchanges   atomic.Int64
	bytes       atomic.Int64
}

func fleetAddress(n int) string { return fmt.Sprintf("10.0.%d.%d:8082", n/250, n%250) }

func newFleet(count int, seed uint64) *fleet {
	f := &fleet{memberships: map[string]*lrpeer.Membership{}, count: count, now: time.Unix(0, 0)}
	for n := range count {
		self := lrpeer.Member{
			Name: fmt.Sprintf("router-%03d", n), Zone: fmt.Sprintf("zone-%d", n%fleetZones), PeerAddress: fleetAddress(n), Incarnation: uint64(time.Now().UnixNano()),
		}
		m := lrpeer.NewMembership(self, f, lrpeer.Options{
			Interval: heartbeat, Fanout: 3, Seeds: []string{fleetAddress(0), fleetAddress(1)}, Clock: f.clock,
			Random: rand.New(rand.NewPCG(seed, uint64(n))), Log: zerolog.Nop(),
		})
		listing := lrpeer.NewInstanceList(lrplatform.NewMemory(), m, nil, lrpeer.InstanceListOptions{Readers: 1, Clock: f.clock})
		listing.Refresh(context.Background(), f.clock())
		m.SetInstanceList(listing)
		f.memberships[self.PeerAddress] = m
	}
	return f
}

func (f *fleet) clock() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.now
}

func (f *fleet) Exchange(ctx context.Context, address string, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	reply, err := f.memberships[address].Exchange(ctx, request)
	f.exchanges.Add(1)
	f.bytes.Add(int64(proto.Size(request) + proto.Size(reply)))
	return reply, err
}

func (f *fleet) run(ctx context.Context, rounds int) {
	for range rounds {
		f.mutex.Lock()
		f.now = f.now.Add(heartbeat)
		f.mutex.Unlock()
		for n := range f.count {
			f.memberships[fleetAddress(n)].Round(ctx, f.clock())
		}
	}
}

// measureFleet measures the steady-state cost of membership per instance in a fleet of count instances.
func measureFleet(ctx context.Context, count int, wire wireCost) []figure {
	f := newFleet(count, 1)
	f.run(ctx, settleRounds)
	known := float64(len(f.memberships[fleetAddress(count/2)].Members()))
	f.exchanges.Store(0)
	f.bytes.Store(0)
	started := processTime()
	f.run(ctx, measuredRounds)
	core := processTime() - started
	instanceSeconds := float64(count) * measuredRounds * heartbeat.Seconds()
	exchanges := float64(f.exchanges.Load())
	// Each byte of an exchange is sent by one instance and received by another.
	bytes := 2 * (float64(f.bytes.Load()) + exchanges*wire.overheadBytes) / instanceSeconds
	wholeLists := 2 * exchanges * (wire.overheadBytes + 2*recordBytes*float64(count)) / instanceSeconds
	load := (core.Seconds() + exchanges*wire.core.Seconds()) / instanceSeconds
	return []figure{
		{fmt.Sprintf("membershipBytes.%d", count), bytes, wholeLists, controlBytes, "B/s"},
		{fmt.Sprintf("membershipCore.%d", count), load, math.NaN(), controlCore, "core"},
		{fmt.Sprintf("membershipKnown.%d", count), known, math.NaN(), float64(count), "instances"},
	}
}
