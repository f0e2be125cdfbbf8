package lrmetric

import (
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric/lrmetrictest"
)

const (
	alerts    = "../../deploy/alerts.rules.yml"
	dashboard = "../../deploy/dashboard.json"
)

func TestDeployedFilesNameRegisteredMetrics(t *testing.T) {
	lrmetrictest.RequireRegistered(t, New().Registry, alerts, dashboard)
}

func TestEachAlertHasItsSection(t *testing.T) {
	lrmetrictest.RequireSections(t, alerts, "../../docs/OPERATIONS.md")
}

func TestDashboardIsJSON(t *testing.T) { lrmetrictest.RequireJSON(t, dashboard) }
