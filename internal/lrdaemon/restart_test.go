package lrdaemon

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

func TestRestartWithPlatformDownServesFromPeers(t *testing.T) {
	h := newHarness(t, 1)
	peer := h.startDaemon("router-1", nil)
	seed := peer.settings.Instance.PeerAddress
	h.control(h.platform, "/control/faults", lrstub.Faults{Down: true})
	restarted := h.startDaemon("router-2", func(s *lrsettings.Settings) { s.Peers.Seeds = []string{seed} })
	requireEqual(t, restarted.follower.Snapshot().Version(), peer.follower.Snapshot().Version(), "version")
	status, _ := complete(t, restarted, h.key, "prompt", 5)
	requireEqual(t, status, http.StatusOK, "status")
}

// TestInstanceWithoutConfigurationRefusesAsNotRun starts an instance while the platform is down and no other instance has the configuration.
// It answered 401 to valid keys, after which callers do not come back.
func TestInstanceWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	h := newHarness(t, 1)
	h.control(h.platform, "/control/faults", lrstub.Faults{Down: true})
	d := h.launchDaemon("router-1", nil)
	var got paidAnswer
	eventually(t, "the instance answers", func() bool {
		response, err := http.DefaultClient.Do(h.paidRequest(d, "action-1", paidBody))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		got = paidAnswer{status: response.StatusCode, body: string(text)}
		return err == nil
	})
	requireEqual(t, got.status, http.StatusServiceUnavailable, "status")
	requireEqual(t, strings.Contains(got.body, string(lrerror.NotRun)), true, "the answer says that the request has not run")
}

func TestInstancesDiscoverOneAnother(t *testing.T) {
	h := newHarness(t, 1)
	daemons := h.startDaemons("router-1", "router-2", "router-3")
	for _, d := range daemons {
		eventually(t, "every instance knows the others", func() bool { return len(d.members.Members()) == len(daemons) })
	}
}

func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	h := newHarness(t, 1)
	daemons := h.startDaemons("router-1", "router-2", "router-3", "router-4")
	h.withdraw(h.key)
	for _, d := range daemons {
		eventually(t, "the key is refused", func() bool {
			status, _ := complete(t, d, h.key, "prompt", 1)
			return status == http.StatusUnauthorized
		})
	}
}

// startDaemons starts instances and adds them to the platform's list.
func (h *harness) startDaemons(names ...string) []*runningDaemon {
	h.t.Helper()
	daemons := make([]*runningDaemon, 0, len(names))
	for _, name := range names {
		d := h.startDaemon(name, func(s *lrsettings.Settings) { s.Peers.WatchersPerZone = 1 })
		daemons = append(daemons, d)
		i := d.settings.Instance
		h.instances = append(h.instances, lrplatform.Instance{
			Name: name, Role: lrplatform.RoleRouter, Zone: i.Zone, Address: i.Address, PeerAddress: i.PeerAddress, AdminAddress: i.AdminAddress,
		})
		h.publishInstances()
	}
	return daemons
}

func TestKeyWithdrawalReachesInstanceWithoutPlatform(t *testing.T) {
	h := newHarness(t, 1)
	peer := h.startDaemons("router-1")[0]
	seed := peer.settings.Instance.PeerAddress
	isolated := h.startDaemon("router-2", func(s *lrsettings.Settings) {
		s.Platform.URL = "http://127.0.0.1:1"
		s.Peers.Seeds = []string{seed}
	})
	status, _ := complete(t, isolated, h.key, "prompt", 1)
	requireEqual(t, status, http.StatusOK, "status before the withdrawal")
	h.withdraw(h.key)
	eventually(t, "the key is refused", func() bool {
		status, _ := complete(t, isolated, h.key, "prompt", 1)
		return status == http.StatusUnauthorized
	})
}

func TestAllRestartWithPlatformDownAndRecover(t *testing.T) {
	h := newHarness(t, 1)
	h.control(h.platform, "/control/faults", lrstub.Faults{Down: true})
	first := h.launchDaemon("router-1", nil)
	second := h.launchDaemon("router-2", func(s *lrsettings.Settings) {
		s.Peers.Seeds = []string{first.settings.Instance.PeerAddress}
	})
	eventually(t, "the instances find each other", func() bool { return len(second.members.Members()) == 2 })
	response := post(t, second.url+"/v1/completions", h.key.Reveal(), []byte(`{"model":"`+testModel+`","prompt":"p"}`))
	text, err := io.ReadAll(response.Body)
	requireNoError(t, err)
	_ = response.Body.Close()
	requireEqual(t, bytes.Contains(text, []byte(`"notRun"`)), true, "the refusal says notRun: "+string(text))
	h.control(h.platform, "/control/faults", lrstub.Faults{})
	for _, d := range []*runningDaemon{first, second} {
		eventually(t, "the instance recovers", func() bool { return len(d.missing()) == 0 })
		status, _ := complete(t, d, h.key, "prompt", 1)
		requireEqual(t, status, http.StatusOK, "status after the recovery")
	}
}

func TestPartitionedInstanceServesUnlessStaleBoundIsSet(t *testing.T) {
	cases := []struct {
		name   string
		bound  time.Duration
		status int
	}{
		{"no bound", 0, http.StatusOK},
		{"bound", time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			d := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.Keys.StaleBound = c.bound })
			h.control(h.platform, "/control/faults", lrstub.Faults{Down: true})
			h.platform.CloseClientConnections()
			eventually(t, "the answer to the key", func() bool {
				status, _ := complete(t, d, h.key, "prompt", 1)
				return status == c.status
			})
		})
	}
}

func TestInstanceListSpreadsWithHeartbeats(t *testing.T) {
	h := newHarness(t, 2)
	peer := h.startDaemons("router-1")[0]
	isolated := h.startDaemon("router-2", func(s *lrsettings.Settings) {
		s.Platform.URL = "http://127.0.0.1:1"
		s.Platform.ListInterval = time.Hour
		s.Peers.Seeds = []string{peer.settings.Instance.PeerAddress}
	})
	h.instances = append(h.instances, lrplatform.Instance{Name: "engine-new", Role: lrplatform.RoleEngine, Address: "127.0.0.1:1", Zone: testZone})
	h.publishInstances()
	eventually(t, "the new engine is known", func() bool {
		return slices.ContainsFunc(isolated.registry.Servers(lrplatform.RoleEngine), func(i lrplatform.Instance) bool {
			return i.Name == "engine-new"
		})
	})
}
