package lredge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric/lrmetrictest"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	alerts    = "../../deploy/edge.rules.yml"
	dashboard = "../../deploy/edge.dashboard.json"
	page      = "../../docs/OPERATIONS.md"
)

// newTestDaemon returns a daemon that is not running and whose ports are not connected.
func newTestDaemon() *Daemon {
	settings := lrsettings.Default()
	settings.Instance.Name, settings.Instance.Zone = "edge-1", "a"
	clock := func() time.Time { return time.Unix(1000, 0) }
	return New(settings, Ports{Store: lrplatform.NewMemory(), InstancesKind: "instances"}, clock, zerolog.Nop())
}

func TestEachAlertHasItsSection(t *testing.T) { lrmetrictest.RequireSections(t, alerts, page) }

func TestDashboardIsJSON(t *testing.T) { lrmetrictest.RequireJSON(t, dashboard) }

// Gauges must be readable before the daemon has started.
func TestGaugesAreReadable(t *testing.T) {
	families, err := newTestDaemon().metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "lavenderrouter_edge_instances" && f.GetMetric()[0].GetGauge().GetValue() != 1 {
			t.Errorf("the instance is alone, but the metric is %v", f.GetMetric())
		}
	}
}
