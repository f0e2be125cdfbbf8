package lredge

import (
	"context"
	"encoding/json"
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

// A restarted instance must replace its registration, whether or not its settings mark a first start.
func TestRegistrationReplacesPreviousOne(t *testing.T) {
	for _, first := range []bool{true, false} {
		d := newTestDaemon()
		d.settings.Instance.FirstStart = first
		for _, process := range []string{"1", "2"} {
			d.process = process
			value, err := json.Marshal(d.self())
			if err != nil {
				t.Fatal(err)
			}
			err = d.registerOnce(context.Background(), value)
			if err != nil {
				t.Fatal(err)
			}
			stored, err := d.ports.Store.Get(context.Background(), "instances", "edge-1")
			if err != nil || string(stored.Value) != string(value) {
				t.Errorf("stored %s, %v, want %s", stored.Value, err, value)
			}
		}
	}
}
