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

// newTestDaemon returns a daemon that reaches nothing and does not run.
func newTestDaemon() *Daemon {
	settings := lrsettings.Default()
	settings.Instance.Name, settings.Instance.Zone = "edge-1", "a"
	clock := func() time.Time { return time.Unix(1000, 0) }
	return New(settings, Ports{Store: lrplatform.NewMemory(), InstancesKind: "instances"}, clock, zerolog.Nop())
}

func TestEachAlertHasItsSection(t *testing.T) { lrmetrictest.RequireSections(t, alerts, page) }

func TestDashboardIsJSON(t *testing.T) { lrmetrictest.RequireJSON(t, dashboard) }

// TestGaugesAreReadable asks all gauges of a daemon that has not started.
func TestGaugesAreReadable(t *testing.T) {
	families, err := newTestDaemon().metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "lavenderrouter_edge_instances" && f.GetMetric()[0].GetGauge().GetValue() != 1 {
			t.Errorf("a lone instance counts %v", f.GetMetric())
		}
	}
}

// TestRegistrationReplacesTheOneBefore registers an instance that has restarted, with and without the sign of a first start.
func TestRegistrationReplacesTheOneBefore(t *testing.T) {
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
