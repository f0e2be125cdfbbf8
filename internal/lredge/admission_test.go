package lredge

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// TestRoutesWithoutTargetAreReportedOnce guards against a routing table whose targets are ignored without a word, and against a line for each table
// that arrives.
func TestRoutesWithoutTargetAreReportedOnce(t *testing.T) {
	d := newTestDaemon()
	var log bytes.Buffer
	d.log = zerolog.New(&log)
	usable := lrtable.Route{Name: "usable", TargetLatency: time.Second}
	unusable := lrtable.Route{Name: "unusable"}
	for _, routes := range [][]lrtable.Route{{usable}, {usable, unusable}, {unusable, usable}, {usable, unusable}} {
		d.reportTargets(lrtable.Spec{Routes: routes})
	}
	lines := strings.Count(log.String(), "\n")
	if lines != 1 || !strings.Contains(log.String(), `"routes":["unusable"]`) {
		t.Errorf("logged %s, want one line with the unusable route", log.String())
	}
}

// TestAdmissionCanBeSwitchedOff guards against a setting that has no effect.
func TestAdmissionCanBeSwitchedOff(t *testing.T) {
	d := newTestDaemon()
	if d.pipeline.Admission == nil {
		t.Error("there is no admission, although it is on by default")
	}
	d.settings.Admission.Enabled = false
	if d.newAdmission() != nil {
		t.Error("there is an admission, although it is switched off")
	}
}
