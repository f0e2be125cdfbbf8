package lrgrant

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	waitLimit = 20 * time.Second
	testLease = time.Second
)

// instance is the limiter of one instance, with its own gRPC server.
type instance struct {
	*Limiter
	keeper *ViewKeeper
	server *grpc.Server
}

// testPlatform is a platform whose list of instances can be set.
type testPlatform interface {
	lrplatform.Platform
	SetInstances(instances []lrplatform.Instance)
}

// startInstances starts the instances of three zones on one platform and waits until every view is settled and known to
// all instances.
func startInstances(t *testing.T, platform testPlatform, perZone int) []*instance {
	t.Helper()
	listed := make([]lrplatform.Instance, 0, 3*perZone)
	listeners := make([]net.Listener, 0, 3*perZone)
	for n := range 3 * perZone {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		listed = append(listed, lrplatform.Instance{
			Name: fmt.Sprint("router-", n), Role: lrplatform.RoleRouter, Zone: fmt.Sprint("zone-", n%3),
			PeerAddress: listener.Addr().String(),
		})
	}
	platform.SetInstances(listed)
	instances := make([]*instance, len(listed))
	for n, l := range listed {
		instances[n] = startInstance(t, platform, l, listeners[n])
	}
	eventually(t, "every zone has a settled view", func() bool {
		for _, i := range instances {
			if !i.keeper.isSettled() || len(i.keeper.Zones()) != 3 || i.lacksView() {
				return false
			}
		}
		return true
	})
	return instances
}

func startInstance(t *testing.T, platform testPlatform, listed lrplatform.Instance, listener net.Listener) *instance {
	t.Helper()
	options := Options{
		Self: lrlimit.Member{Name: listed.Name, Incarnation: uint64(time.Now().UnixNano()), Address: listed.PeerAddress},
		Zone: listed.Zone, LeaseValidity: testLease, GrantValidity: 200 * time.Millisecond, MaxWait: 50 * time.Millisecond,
	}
	pool := lrpeer.NewPool(insecure.NewCredentials())
	keeper := NewViewKeeper(options, Dependencies{
		Clock: time.Now, Platform: platform, Directory: platform, Pool: pool, Log: zerolog.Nop(),
		Candidates:        func(context.Context) []lrpeer.Member { return nil },
		RecordViolation:   func(name string) { t.Errorf("invariant %s violated", name) },
		RefusedInsideRate: func() {},
	})
	server := NewServer(keeper)
	i := &instance{Limiter: NewLimiter(keeper, server), keeper: keeper, server: grpc.NewServer()}
	lrpeerpb.RegisterLimitServer(i.server, server)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = i.server.Serve(listener) })
	group.Go(func() { _ = keeper.Run(ctx) })
	group.Go(func() { _ = i.RunPrefetch(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			i.Report(ctx, time.Now())
			lrsupervise.Sleep(ctx, i.ReportPeriod())
		}
	})
	t.Cleanup(func() {
		stop()
		i.server.Stop()
		group.Wait()
		pool.Close()
	})
	return i
}

func (k *ViewKeeper) isSettled() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.homes.IsSettled(k.Clock()) && k.homes.View().Contains(k.options.Self)
}

func (i *instance) lacksView() bool {
	for _, z := range i.keeper.Zones() {
		if i.keeper.View(z).Number == 0 {
			i.keeper.MarkStale(z)
			return true
		}
	}
	return false
}

func TestInstancesShareOneBurst(t *testing.T) {
	instances := startInstances(t, lrplatform.NewMemory(), 2)
	admitted := 0
	request := lrlimit.Request{Account: "parish-office", Rate: 1000, Burst: 3000, Tokens: 100}
	started := time.Now()
	for range 20 {
		for _, i := range instances {
			reservation, err := i.Reserve(context.Background(), time.Now(), request)
			if err == nil {
				admitted++
				reservation.Settle(time.Now(), request.Tokens)
			}
		}
	}
	limit := request.Burst + request.Rate*time.Since(started).Seconds()
	if float64(admitted)*request.Tokens > limit {
		t.Errorf("%d requests of %g tokens were admitted, above %g", admitted, request.Tokens, limit)
	}
}

func TestOneInstanceCanUseWholeBurst(t *testing.T) {
	instances := startInstances(t, lrplatform.NewMemory(), 1)
	request := lrlimit.Request{Account: "parish-office", Rate: 1e6, Burst: 3000, Tokens: 3000}
	eventually(t, "the whole burst is admitted", func() bool {
		reservation, err := instances[0].Reserve(context.Background(), time.Now(), request)
		if err == nil {
			reservation.Settle(time.Now(), 0)
		}
		return err == nil
	})
}

func TestRequestAboveBurstIsRefused(t *testing.T) {
	instances := startInstances(t, lrplatform.NewMemory(), 1)
	_, err := instances[0].Reserve(context.Background(), time.Now(), lrlimit.Request{Account: "a", Rate: 10, Burst: 10, Tokens: 11})
	if !lrerror.Is(err, lrerror.KindRateLimited) || lrerror.From(err).RetryAfter() != 0 {
		t.Errorf("got %v, want a RateLimited error without a retry time", err)
	}
}

func TestAccountsMoveFromLeavingInstance(t *testing.T) {
	platform := lrplatform.NewMemory()
	instances := startInstances(t, platform, 2)
	leaving := instances[0]
	leaving.Release(context.Background())
	leaving.keeper.Leave(context.Background())
	leaving.server.Stop()
	request := lrlimit.Request{Account: "parish-office", Rate: 1e6, Burst: 3000, Tokens: 3000}
	eventually(t, "the remaining instances grant the whole burst", func() bool {
		_, err := instances[1].Reserve(context.Background(), time.Now(), request)
		return err == nil
	})
}

// The platform comes back from a copy that is older than the present view. The next view got a number that was in use, so that instances
// took different lists of members for the same view, and none confirmed its lease by the platform.
func TestLostViewIsWrittenAgain(t *testing.T) {
	platform := lrplatform.NewMemory()
	instances := startInstances(t, platform, 2)
	zone := instances[0].keeper.options.Zone
	number := func() uint64 {
		_, stored, err := instances[0].keeper.readView(context.Background(), zone)
		if err != nil {
			t.Fatal(err)
		}
		return stored.Number
	}
	older, before := platform.Copy(), number()
	instances[0].keeper.Leave(context.Background())
	eventually(t, "the members hold the view without the one that left", func() bool {
		return instances[3].keeper.View(zone).Number > before && number() > before
	})
	platform.Restore(older)
	eventually(t, "the platform holds that view again", func() bool { return number() > before })
}

// hangingPlatform answers no Get while it hangs, until the caller's context ends.
type hangingPlatform struct {
	*lrplatform.Memory
	isHanging atomic.Bool
}

func (p *hangingPlatform) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	if p.isHanging.Load() {
		<-ctx.Done()
		return lrplatform.Object{}, lrplatform.ErrUnavailable.Wrap(ctx.Err())
	}
	return p.Memory.Get(ctx, kind, name)
}

func TestHomesKeepLeaseWhilePlatformHangs(t *testing.T) {
	platform := &hangingPlatform{Memory: lrplatform.NewMemory()}
	instances := startInstances(t, platform, 2)
	platform.isHanging.Store(true)
	time.Sleep(2 * testLease)
	for _, i := range instances {
		eventually(t, "the home is confirmed by the other members", func() bool {
			i.keeper.mutex.Lock()
			defer i.keeper.mutex.Unlock()
			return i.keeper.homes.MayGrant(time.Now())
		})
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
