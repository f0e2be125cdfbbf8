// Package lrmetrictest checks that the alert rules and dashboards in deploy/ and the pages of the documentation match the metrics of
// the program.
package lrmetrictest

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// RequireRegistered fails for each metric that a file names and that is not in the registry.
func RequireRegistered(t *testing.T, registry *prometheus.Registry, paths ...string) {
	t.Helper()
	registered := registeredNames(registry)
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			for _, name := range metricNames(t, path) {
				if !registered[name] {
					t.Errorf("%s is not a registered metric", name)
				}
			}
		})
	}
}

// RequireExplained fails for each metric of the registry that the page does not name.
func RequireExplained(t *testing.T, registry *prometheus.Registry, page string) {
	t.Helper()
	text := readFile(t, page)
	for name := range registeredNames(registry) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("%s does not explain %s", page, name)
		}
	}
}

// RequireSections fails for each alert of the rules for which the page has no section.
func RequireSections(t *testing.T, rules, page string) {
	t.Helper()
	text := readFile(t, page)
	for _, match := range regexp.MustCompile(`alert: (\w+)`).FindAllStringSubmatch(readFile(t, rules), -1) {
		t.Run(match[1], func(t *testing.T) {
			if !strings.Contains(text, "\n### "+match[1]+"\n") {
				t.Fatalf("%s has no section of this name", page)
			}
		})
	}
}

// RequireJSON fails if the file is not valid JSON.
func RequireJSON(t *testing.T, path string) {
	t.Helper()
	if !json.Valid([]byte(readFile(t, path))) {
		t.Fatalf("%s is not JSON", path)
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

func registeredNames(registry *prometheus.Registry) map[string]bool {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
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
