package lrquarantine

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

func TestSuspectsNeverShareServer(t *testing.T) {
	now := time.Unix(1000, 0)
	services := newServices(t, now, 3)
	for n, s := range services {
		s.Ledger.Report(now, lrquarantine.Crash{Digest: fmt.Sprint(n), Server: "engine-a", AttemptID: "1"})
	}
	for round := range 50 {
		server := fmt.Sprint("engine-", round)
		var group sync.WaitGroup
		began := make(chan int, len(services))
		for n, s := range services {
			group.Go(func() {
				isolated, ok := s.Begin(now, fmt.Sprint(n), server)
				if isolated && ok {
					began <- n
				}
			})
		}
		group.Wait()
		if len(began) > 1 {
			t.Fatalf("%d suspects run on %s", len(began), server)
		}
	}
}

func TestServerIsFreeAfterSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	services := newServices(t, now, 2)
	for n, s := range services {
		s.Ledger.Report(now, lrquarantine.Crash{Digest: fmt.Sprint(n), Server: "engine-a", AttemptID: "1"})
	}
	requireBegin(t, services[0], now, "0", true)
	requireBegin(t, services[1], now, "1", false)
	services[0].End("0", "engine-b", false)
	requireBegin(t, services[1], now.Add(lrquarantine.DefaultOptions().CrashWindow), "1", true)
}

func requireBegin(t *testing.T, s *Service, now time.Time, digest string, want bool) {
	t.Helper()
	_, ok := s.Begin(now, digest, "engine-b")
	if ok != want {
		t.Fatalf("suspect %s may run: got %t, want %t", digest, ok, want)
	}
}

type fixedMembership struct {
	self    lrpeer.Member
	members []lrpeer.Member
}

func (r fixedMembership) Self() lrpeer.Member      { return r.self }
func (r fixedMembership) Members() []lrpeer.Member { return r.members }

// newServices returns the services of instances that can reach each other.
func newServices(t *testing.T, now time.Time, count int) []*Service {
	t.Helper()
	members := make([]lrpeer.Member, count)
	listeners := make([]net.Listener, count)
	for n := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[n] = listener
		members[n] = lrpeer.Member{Name: fmt.Sprint("router-", n), PeerAddress: listener.Addr().String()}
	}
	services := make([]*Service, count)
	for n := range count {
		pool := lrpeer.NewPool(insecure.NewCredentials())
		t.Cleanup(pool.Close)
		services[n] = NewService(Options{
			Ledger: lrquarantine.DefaultOptions(), Membership: fixedMembership{members[n], members}, Pool: pool,
			Store: lrplatform.NewMemory(), Clock: func() time.Time { return now }, Log: zerolog.Nop(),
		})
		server := grpc.NewServer()
		lrpeerpb.RegisterQuarantineServer(server, services[n])
		go func() { _ = server.Serve(listeners[n]) }()
		t.Cleanup(server.Stop)
	}
	return services
}
