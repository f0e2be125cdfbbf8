package lrmetric

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

func TestDeployedFilesNameRegisteredMetrics(t *testing.T) {
	registered := registeredNames(New())
	for _, path := range []string{"../../deploy/alerts.rules.yml", "../../deploy/dashboard.json"} {
		t.Run(path, func(t *testing.T) {
			for _, name := range metricNames(t, path) {
				if !registered[name] {
					t.Errorf("%s is not a registered metric", name)
				}
			}
		})
	}
}

func TestEachAlertHasItsSection(t *testing.T) {
	rules := readFile(t, "../../deploy/alerts.rules.yml")
	page := readFile(t, "../../docs/OPERATIONS.md")
	for _, match := range regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(rules, -1) {
		t.Run(match[1], func(t *testing.T) {
			if !strings.Contains(page, "\n### "+match[1]+"\n") {
				t.Fatal("docs/OPERATIONS.md has no section of this name")
			}
		})
	}
}

func TestDashboardIsJSON(t *testing.T) {
	if !json.Valid([]byte(readFile(t, "../../deploy/dashboard.json"))) {
		t.Fatal("deploy/dashboard.json is not JSON")
	}
}

// metricNames returns the metrics that a file names, without the suffixes of histograms.
func metricNames(t *testing.T, path string) []string {
	t.Helper()
	names := regexp.MustCompile(`lavenderrouter_\w+`).FindAllString(readFile(t, path), -1)
	for n := range names {
		names[n] = strings.TrimSuffix(names[n], "_bucket")
	}
	if len(names) == 0 {
		t.Fatalf("%s names no metric", path)
	}
	return names
}

func registeredNames(m *Metrics) map[string]bool {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		m.Registry.Describe(descriptions)
		close(descriptions)
	}()
	names := map[string]bool{}
	for d := range descriptions {
		match := regexp.MustCompile(`fqName: "(\w+)"`).FindStringSubmatch(d.String())
		names[match[1]] = true
	}
	return names
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
