package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrdaemon"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	instanceZones   = 3
	sampledVersions = 30
	readyLimit      = 20 * time.Second
	instancePoll    = 2 * time.Millisecond
	idleTime        = 5 * time.Second
	activeTarget    = 3000
	readyTarget     = 1000
	platformReads   = 2000
)

// instances are router instances in this process that use one platform stand-in.
type instances struct {
	platform  *httptest.Server
	publisher *lrstate.Publisher
	settings  []lrsettings.Settings
	stop      context.CancelFunc
	running   []*lrdaemon.Daemon
}

// measureInstances starts eight instances together and changes the configuration while they run.
func measureInstances(ctx context.Context) ([]figure, error) {
	i := &instances{platform: httptest.NewServer(lrstub.NewPlatform())}
	defer i.platform.Close()
	defer i.platform.CloseClientConnections()
	i.publisher = lrstate.NewPublisher(lrplatform.NewClient(i.platform.URL))
	err := i.prepare(ctx)
	if err != nil {
		return nil, err
	}
	before, err := i.reads()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	i.start(ctx)
	defer i.end()
	err = i.await("ready")
	if err != nil {
		return nil, err
	}
	ready := time.Since(started)
	herd, err := i.reads()
	if err != nil {
		return nil, err
	}
	changes, err := i.measureChanges(ctx)
	return append(changes,
		figure{"herdReady.8", float64(ready.Milliseconds()), math.NaN(), readyTarget, "ms"},
		figure{"herdReads.8", herd - before, smallFleet * (2 + 2*lrconfig.ShardCount), platformReads, "calls"},
	), err
}

func (i *instances) prepare(ctx context.Context) error {
	base, err := i.publisher.Read(ctx)
	if err != nil {
		return err
	}
	_, err = i.publisher.Apply(ctx, time.Now(), base, largeConfiguration(lrconfig.ShardCount*2))
	if err != nil {
		return err
	}
	listed := make([]lrplatform.Instance, 0, smallFleet)
	for n := range smallFleet {
		settings := lrsettings.Default()
		settings.Instance = lrsettings.Instance{Name: fmt.Sprint("router-", n), Zone: fmt.Sprint("zone-", n%instanceZones)}
		for _, address := range []*string{&settings.Instance.Address, &settings.Instance.AdminAddress, &settings.Instance.PeerAddress} {
			*address, err = freeAddress()
			if err != nil {
				return err
			}
		}
		settings.Platform.URL = i.platform.URL
		settings.Server.DrainDelay = 0
		i.settings = append(i.settings, settings)
		listed = append(listed, lrplatform.Instance{
			Name: settings.Instance.Name, Role: lrplatform.RoleRouter, Zone: settings.Instance.Zone,
			Address: settings.Instance.Address, AdminAddress: settings.Instance.AdminAddress, PeerAddress: settings.Instance.PeerAddress,
		})
	}
	return i.list(listed)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (i *instances) list(listed []lrplatform.Instance) error {
	data, err := json.Marshal(listed)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, i.platform.URL+"/control/instances", bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (i *instances) reads() (float64, error) {
	response, err := http.Get(i.platform.URL + "/control/counts")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var counts lrstub.Counts
	err = json.NewDecoder(response.Body).Decode(&counts)
	return float64(counts.Reads), err
}

func (i *instances) start(ctx context.Context) {
	ctx, i.stop = context.WithCancel(ctx)
	for _, s := range i.settings {
		d := lrdaemon.New(s, zerolog.Nop())
		i.running = append(i.running, d)
		go func() { _ = d.Run(ctx) }()
	}
}

func (i *instances) end() {
	i.stop()
	for _, d := range i.running {
		<-d.Done()
	}
}

// await waits until every instance is ready. The text names the state in the error.
func (i *instances) await(what string) error {
	deadline := time.Now().Add(readyLimit)
	for _, s := range i.settings {
		for !i.answers(s) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not %s after %s", s.Instance.Name, what, readyLimit)
			}
			time.Sleep(instancePoll)
		}
	}
	return nil
}

func (i *instances) answers(s lrsettings.Settings) bool {
	response, err := http.Get("http://" + s.Instance.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// measureChanges measures how long a change takes to be active on every instance, and the platform reads while idle.
func (i *instances) measureChanges(ctx context.Context) ([]figure, error) {
	before, err := i.reads()
	if err != nil {
		return nil, err
	}
	time.Sleep(idleTime)
	after, err := i.reads()
	if err != nil {
		return nil, err
	}
	times := make([]float64, 0, sampledVersions)
	for n := range sampledVersions {
		elapsed, err := i.measureChange(ctx, n)
		if err != nil {
			return nil, err
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	return []figure{
		{"quietReads.8", (after - before) / idleTime.Seconds(), math.NaN(), platformReads, "calls/s"},
		{"inForceWorst.8", times[len(times)-1], math.NaN(), activeTarget, "ms"},
		{"inForceMedian.8", times[len(times)/2], math.NaN(), activeTarget, "ms"},
	}, nil
}

func (i *instances) measureChange(ctx context.Context, n int) (float64, error) {
	base, err := i.publisher.Read(ctx)
	if err != nil {
		return 0, err
	}
	change, err := lrstate.KeyChange(base, "add key", lrconfig.KeyRecord{ID: fmt.Sprintf("%016x", n), Account: "account-00000"})
	if err != nil {
		return 0, err
	}
	head, err := i.publisher.Apply(ctx, time.Now(), base, change)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	for _, d := range i.running {
		for d.ConfigVersion() < head.Version {
			if time.Since(started) > readyLimit {
				return 0, fmt.Errorf("version %d is not active on every instance after %s", head.Version, readyLimit)
			}
			time.Sleep(instancePoll)
		}
	}
	return float64(time.Since(started).Milliseconds()), nil
}
