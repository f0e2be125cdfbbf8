package lrpipeline

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	// limitWindow is the window in which the rule counts requests, toldDelay the time after which an instance that has received a limit
	// counts, and adaptTime the time after the first limit from which windows count.
	limitWindow = 4 * time.Second
	toldDelay   = 500 * time.Millisecond
	adaptTime   = 3 * time.Second
	// exchangePeriod is the time between two exchanges of all instances.
	exchangePeriod = 300 * time.Millisecond
	// leastShare is the part of a limit that a server gets at least while there is demand.
	leastShare = 0.8
)

// limitedServers is a Backend of all instances of a test. Some of its servers name a limit.
type limitedServers struct {
	now func() time.Time
	// limits are the limits in requests a second that the servers name now.
	limits map[string]float64
	// told holds since when an instance has known of the limit of a server, and arrivals the requests that count.
	told     map[string]time.Time
	since    map[string]time.Time
	arrivals map[string][]time.Time
	total    map[string]int
}

// limitedBackend is the Backend of one instance.
type limitedBackend struct {
	*limitedServers
	instance string
}

func (l *limitedBackend) Send(_ context.Context, attempt Attempt) (*Reply, error) {
	err := attempt.BeforeSend()
	if err != nil {
		return nil, err
	}
	now, server := l.now(), attempt.Server.ID
	l.total[server]++
	told, ok := l.told[l.instance+server]
	if ok && now.Sub(told) >= toldDelay {
		l.arrivals[server] = append(l.arrivals[server], now)
	}
	reply := &Reply{Status: 200, Body: bytes.NewBufferString("ok"), Close: func() {}}
	limit, limited := l.limits[server]
	if limited {
		reply.Notice = lrnotice.Notice{HasLimit: true, Limit: limit}
		if !ok {
			l.told[l.instance+server] = now
		}
		if _, named := l.since[server]; !named {
			l.since[server] = now
		}
	}
	return reply, nil
}

func (l *limitedBackend) Events(*Reply) EventReader { return &scriptedEvents{} }

// mostInWindow returns the highest number of requests that count in one window.
func (l *limitedServers) mostInWindow(server string) int {
	most := 0
	arrivals := l.arrivals[server]
	for n, from := range arrivals {
		if from.Before(l.since[server].Add(adaptTime)) {
			continue
		}
		count := 0
		for _, at := range arrivals[n:] {
			if at.Sub(from) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// testFleet is a number of instances before the same backend servers.
type testFleet struct {
	now       time.Time
	servers   *limitedServers
	instances []*Pipeline
	// updates are what the instances have sent one another at the last exchange, and which arrives at the next one.
	updates      [][]lrnotice.Update
	nextExchange time.Time
}

func newTestFleet(instances, servers int) *testFleet {
	f := &testFleet{now: time.Now()}
	clock := func() time.Time { return f.now }
	f.servers = &limitedServers{
		now: clock, limits: map[string]float64{}, told: map[string]time.Time{}, since: map[string]time.Time{},
		arrivals: map[string][]time.Time{}, total: map[string]int{},
	}
	listed := map[string]lrfleet.Server{}
	for n := range servers {
		id := fmt.Sprint("server", n)
		listed[id] = lrfleet.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a", Slots: 8}
	}
	for n := range instances {
		directory := lrfleet.NewDirectory(zerolog.Nop())
		spec := testSpec()
		spec.Accounts[0].Rate = 0
		directory.SetSpec(spec)
		directory.SetServers(listed)
		name := fmt.Sprint("instance", n)
		f.instances = append(f.instances, New(Dependencies{
			Directory: directory, Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85, Zone: "a", Seed: uint64(n)}),
			IsStopping: func() bool { return false }, Stores: &testKVStore{}, Memory: lrmemory.NewBudget(testMemoryBytes),
			Releases: lrcanary.NewBoard(lrcanary.Options{Random: func() float64 { return 0 }}),
			Notices:  lrnotice.NewBoard(name), Limiter: lrlimit.NewSharedLimiter(true), RetryBudgets: &testBudget{left: 10},
			Quarantine: lrquarantine.NewTracker(f.now, lrquarantine.DefaultTrackerOptions(name)),
			Backend:    &limitedBackend{limitedServers: f.servers, instance: name}, Observer: noopObserver{},
			Responses:        lrretry.NewResponseMonitor(lrretry.Alone(), 1),
			Ejector:          lrretry.NewEjector(lrretry.EjectorOptions{Failures: 2, Duration: time.Second, MaxDuration: time.Second, ProbeTimeout: time.Second}),
			UnreachableZones: func(time.Time) map[string]bool { return nil }, Instances: func() int { return instances },
			Log: zerolog.Nop(), Clock: clock, PauseClock: clock,
		}))
	}
	f.updates = make([][]lrnotice.Update, instances)
	return f
}

// exchange passes on what the instances know of servers, with the delay that it has in a fleet.
func (f *testFleet) exchange() {
	if f.now.Before(f.nextExchange) {
		return
	}
	f.nextExchange = f.now.Add(exchangePeriod)
	for n, updates := range f.updates {
		for m, i := range f.instances {
			if n != m {
				i.Notices.Merge(f.now, updates, func(lrnotice.Server, lrnotice.Notice) {})
			}
		}
	}
	names := make([]string, 0, len(f.instances))
	for n := range f.instances {
		names = append(names, fmt.Sprint("instance", n))
	}
	slices.Sort(names)
	for n, i := range f.instances {
		f.updates[n] = i.Notices.Updates(f.now, true)
		i.Notices.SetFleet(lrnotice.Fleet{Instances: names, Share: 1})
	}
}

// run sends requests to random instances for the given time, and returns how many of them were not served.
func (f *testFleet) run(random *rand.Rand, length time.Duration, perSecond float64) (lost int) {
	end := f.now.Add(length)
	for n := 0; f.now.Before(end); n++ {
		f.exchange()
		f.now = f.now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		request := &Request{ID: fmt.Sprint("request", n), Host: "h", Path: "/read/x", Key: "key", Received: f.now, Digest: fmt.Sprint(n)}
		caller := &recordingCaller{}
		f.instances[random.IntN(len(f.instances))].Serve(context.Background(), request, caller)
		if caller.status != 200 {
			lost++
		}
	}
	return lost
}

// allowed returns how many requests a server with the limit may get in one window.
func allowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds() + 5) }

// TestServerGetsNoMoreThanItsLimit guards against a backend server that names a limit in its answers and gets more requests from all
// instances together: the instances did not read the limit, and each of them went on as before. The other servers have room, so that every
// request has to be served all the same.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	for _, limit := range []float64{0.3, 1.7, 2, 10} {
		t.Run(fmt.Sprint(limit, " a second"), func(t *testing.T) {
			f := newTestFleet(8, 12)
			random := rand.New(rand.NewPCG(1, 29))
			lost := f.run(random, 2*time.Second, 240)
			f.servers.limits["server3"] = limit
			lost += f.run(random, 20*time.Second, 240)
			most := f.servers.mostInWindow("server3")
			if most > allowed(limit) {
				t.Errorf("%d requests in a window, allowed %d", most, allowed(limit))
			}
			requireEqual(t, lost, 0)
			before := f.servers.total["server3"]
			lost = f.run(random, 20*time.Second, 240)
			share := float64(f.servers.total["server3"]-before) / 20 / limit
			if share < leastShare {
				t.Errorf("the server got %.2f of its limit, at least %.2f are due", share, leastShare)
			}
			delete(f.servers.limits, "server3")
			lost += f.run(random, 5*time.Second, 240)
			before = f.servers.total["server3"]
			lost += f.run(random, 5*time.Second, 240)
			requireEqual(t, f.servers.total["server3"]-before >= 80, true)
			requireEqual(t, lost, 0)
		})
	}
}

// TestHighLimitAttractsNoLoad guards against a server in need that gets more than the others because it names a limit that is high.
func TestHighLimitAttractsNoLoad(t *testing.T) {
	f := newTestFleet(40, 12)
	random := rand.New(rand.NewPCG(1, 29))
	f.servers.limits["server3"] = 30
	f.run(random, 4*time.Second, 120)
	clear(f.servers.total)
	f.run(random, 20*time.Second, 120)
	requireEqual(t, f.servers.total["server3"] < 2*f.servers.total["server4"], true)
}
