package lrdaemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// TestVersionChangeUnderTraffic changes the weights version of a model during traffic, with engines that check fencing
// numbers and engines that ignore them. Every request must succeed.
func TestVersionChangeUnderTraffic(t *testing.T) {
	h := newHarness(t, 4)
	h.instances[0].ChecksFencing, h.instances[1].ChecksFencing = true, true
	h.publishInstances()
	shortIntervals := func(s *lrsettings.Settings) {
		s.Orders = lrsettings.Orders{
			Interval: 50 * time.Millisecond, LeaseValidity: 3 * time.Second, CallTimeout: time.Second,
			ValidFor: 300 * time.Millisecond, Settle: 500 * time.Millisecond,
		}
	}
	first := h.startDaemon("router-1", shortIntervals)
	second := h.startDaemon("router-2", shortIntervals)
	for _, d := range []*runningDaemon{first, second} {
		eventually(t, "the instance has tokens to grant", func() bool {
			status, _ := complete(t, d, h.key, "prompt", 5)
			return status == http.StatusOK
		})
	}
	h.setModelVersion("2")
	rolled := func() bool {
		for _, d := range []*runningDaemon{first, second} {
			status, answer := complete(t, d, h.key, "prompt", 5)
			requireEqual(t, status, http.StatusOK, "status while the version changes")
			requireEqual(t, answer.Choices[0].Text, lrstub.Answer("prompt", 5), "text from instance "+d.settings.Instance.Name)
			if d.registry.ServedVersion(testModel) != "2" {
				return false
			}
		}
		return h.allAtVersion("2")
	}
	eventually(t, "every engine is at the new version", rolled)
}

// TestEachShardHasOneLeaseHolder stops the holder of all leases, which last an hour. The other instance must acquire them
// without waiting until they expire.
func TestEachShardHasOneLeaseHolder(t *testing.T) {
	h := newHarness(t, 2)
	longLeases := func(s *lrsettings.Settings) {
		s.Orders = lrsettings.Orders{
			Interval: 20 * time.Millisecond, LeaseValidity: time.Hour, CallTimeout: time.Second, ValidFor: time.Second, Settle: time.Second,
		}
	}
	first := h.startDaemon("router-1", longLeases)
	eventually(t, "the first instance holds every shard", func() bool { return first.orders.Held() == 2 })
	second := h.startDaemon("router-2", longLeases)
	requireEqual(t, second.orders.Held(), 0, "shards of the second instance")
	first.stop()
	requireNoError(t, <-first.result)
	eventually(t, "the second instance holds every shard", func() bool { return second.orders.Held() == 2 })
}

func (h *harness) setModelVersion(version string) {
	h.t.Helper()
	text, err := os.ReadFile("testdata/lists.ini")
	requireNoError(h.t, err)
	list, _ := lrconfig.ParseList("lists.ini", []byte(strings.Replace(string(text), "version = 1", "version = "+version, 1)))
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) { return lrstate.PlanChange(s, list) })
}

func (h *harness) allAtVersion(version string) bool {
	h.t.Helper()
	for _, e := range h.engines {
		if h.versionOf(e) != version {
			return false
		}
	}
	return true
}

func (h *harness) versionOf(engine *httptest.Server) string {
	h.t.Helper()
	load, err := lrengine.NewDialer(http.DefaultClient).Dial(engine.Listener.Addr().String()).Load(context.Background())
	requireNoError(h.t, err)
	return load.Versions[testModel]
}
