package lrdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	testModel         = "award-review"
	testAccount       = "parish-office"
	testZone          = "zone-a"
	eventuallyTimeout = 20 * time.Second

	firstTestPort   = 10000
	testPorts       = 20000
	portsPerProcess = 500
)

// usedPorts is the number of ports that this process has tried.
var usedPorts atomic.Int32 //nolint:gochecknoglobals // All tests of the process share the ports.

// harness is a deployment in the test process: a stub platform, stub engines, a stub plain service, and router instances.
type harness struct {
	t         *testing.T
	platform  *httptest.Server
	engines   []*httptest.Server
	service   *httptest.Server
	publisher *lrstate.Publisher
	instances []lrplatform.Instance
	key       lrkey.Key
	log       zerolog.Logger
}

func newHarness(t *testing.T, engineCount int) *harness {
	t.Helper()
	h := &harness{t: t, log: zerolog.Nop(), platform: startServer(t, lrstub.NewPlatform()), service: startServer(t, lrstub.NewService())}
	h.publisher = lrstate.NewPublisher(lrplatform.NewClient(h.platform.URL))
	for n := range engineCount {
		options := lrstub.DefaultEngineOptions()
		options.Versions = map[string]string{testModel: "1"}
		options.DecodePerToken = time.Millisecond
		engine := startServer(t, lrstub.NewEngine(options))
		h.engines = append(h.engines, engine)
		h.instances = append(h.instances, lrplatform.Instance{
			Name: "engine-" + string(rune('a'+n)), Role: lrplatform.RoleEngine, Address: engine.Listener.Addr().String(),
			Zone: testZone, Models: []string{testModel},
		})
	}
	h.instances = append(h.instances, lrplatform.Instance{
		Name: "service-a", Role: lrplatform.RoleService, Address: h.service.Listener.Addr().String(), Zone: testZone, Service: "disbursement",
	})
	h.publishInstances()
	h.configure()
	return h
}

func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func (h *harness) publishInstances() {
	h.t.Helper()
	h.control(h.platform, "/control/instances", h.instances)
}

// control sends a value to the control path of a stub server.
func (h *harness) control(server *httptest.Server, path string, value any) {
	h.t.Helper()
	data, err := json.Marshal(value)
	requireNoError(h.t, err)
	request, err := http.NewRequest(http.MethodPut, server.URL+path, bytes.NewReader(data))
	requireNoError(h.t, err)
	response, err := http.DefaultClient.Do(request)
	requireNoError(h.t, err)
	_ = response.Body.Close()
	requireEqual(h.t, response.StatusCode, http.StatusOK, "status of "+path)
}

// configure applies the plans and accounts of testdata and adds a key for the test account.
func (h *harness) configure() {
	h.t.Helper()
	text, err := os.ReadFile("testdata/lists.ini")
	requireNoError(h.t, err)
	list, mistakes := lrconfig.ParseList("lists.ini", text)
	requireEqual(h.t, len(mistakes), 0, "mistakes in the lists")
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) { return lrstate.PlanChange(s, list) })
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) { return lrstate.AccountChange(s, list) })
	h.key = h.addKey(testAccount)
}

func (h *harness) addKey(account string) lrkey.Key {
	h.t.Helper()
	key := lrkey.New()
	record := lrconfig.KeyRecord{ID: key.ID(), Account: account, Hash: key.Hash()}
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) { return lrstate.KeyChange(s, "add key", record) })
	return key
}

func (h *harness) withdraw(key lrkey.Key) {
	h.t.Helper()
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) {
		record, _ := s.Key(key.ID())
		return lrstate.KeyChange(s, "withdraw key", record.WithWithdrawal(time.Now()))
	})
}

// change applies a change to the current configuration.
func (h *harness) change(build func(*lrconfig.Snapshot) (lrstate.Change, error)) {
	h.t.Helper()
	ctx := context.Background()
	base, err := h.publisher.Read(ctx)
	requireNoError(h.t, err)
	change, err := build(base)
	requireNoError(h.t, err)
	_, err = h.publisher.Apply(ctx, time.Now(), base, change)
	requireNoError(h.t, err)
}

// runningDaemon is an instance that serves until the test ends.
type runningDaemon struct {
	*Daemon
	url    string
	stop   context.CancelFunc
	result chan error
}

// startDaemon starts an instance and waits until it is ready.
func (h *harness) startDaemon(name string, adjust func(*lrsettings.Settings)) *runningDaemon {
	h.t.Helper()
	d := h.launchDaemon(name, adjust)
	eventually(h.t, "the instance is ready", func() bool {
		select {
		case err := <-d.result:
			h.t.Fatalf("%s ended before it was ready: %v", name, err)
		default:
		}
		return len(d.missing()) == 0
	})
	return d
}

// launchDaemon starts an instance without waiting until it is ready.
func (h *harness) launchDaemon(name string, adjust func(*lrsettings.Settings)) *runningDaemon {
	h.t.Helper()
	settings := lrsettings.Default()
	settings.Instance = lrsettings.Instance{
		Name: name, Zone: testZone, Address: freeAddress(h.t), AdminAddress: freeAddress(h.t), PeerAddress: freeAddress(h.t),
	}
	settings.Platform.URL = h.platform.URL
	settings.Platform.ListInterval = 50 * time.Millisecond
	settings.Routing.LoadInterval = 50 * time.Millisecond
	settings.Server.DrainDelay = 0
	if adjust != nil {
		adjust(&settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &runningDaemon{Daemon: New(settings, h.log), url: "http://" + settings.Instance.Address, stop: stop, result: make(chan error, 1)}
	go func() { d.result <- d.Run(ctx) }()
	h.t.Cleanup(func() {
		stop()
		<-d.Done()
	})
	return d
}

// freeAddress returns an address with a free port below the ephemeral range, so that no outgoing connection takes the port
// before the instance listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstTestPort + (os.Getpid()*portsPerProcess+int(usedPorts.Add(1)))%testPorts
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		requireNoError(t, listener.Close())
		return listener.Addr().String()
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within the timeout: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
