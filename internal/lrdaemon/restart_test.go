package lrdaemon

import (
	"net/http"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
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

func TestInstancesFindOneAnother(t *testing.T) {
	h := newHarness(t, 1)
	daemons := h.startDaemons("router-1", "router-2", "router-3")
	for _, d := range daemons {
		eventually(t, "every instance knows the others", func() bool { return len(d.roster.Members()) == len(daemons) })
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

// startDaemons starts instances that stand on the platform's list.
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
