package lrpipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

// newReleaseFixture returns a fixture with two old and two new servers, and an order to move to the new ones at the given stage.
func newReleaseFixture(t *testing.T, stage lrcanary.Stage, steps ...step) *fixture {
	t.Helper()
	w := newFixture(t, steps...)
	servers, listed := map[string]lrfleet.Server{}, map[string][]lrcanary.Server{}
	for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b"} {
		release := id[:2]
		servers[id] = lrfleet.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a", Release: release, Versions: map[string]int64{testModel: 1}}
		listed["s"] = append(listed["s"], lrcanary.Server{ID: id, Release: release})
	}
	w.pipeline.Directory.SetServers(servers)
	entry := lrcanary.Entry{Name: "s", To: "v2", Duration: time.Minute, Revision: 1}
	w.pipeline.Releases = lrcanary.NewBoard(lrcanary.Options{Random: func() float64 { return 0.999 }})
	w.pipeline.Releases.SetServers(listed)
	w.pipeline.Releases.SetEntries(w.now, map[string]lrcanary.Entry{"s": entry})
	w.pipeline.Releases.Merge(w.now, []lrcanary.News{{Order: entry.Order(), Stage: stage, HasHolder: true}})
	return w
}

// TestRequestsStayWithinTheirRelease guards against requests at servers of the other release: at new ones beyond the share, at old ones once
// all traffic has moved, and at new ones of a bad release.
func TestRequestsStayWithinTheirRelease(t *testing.T) {
	for stage, want := range map[lrcanary.Stage]string{
		lrcanary.Waiting: "v1 v1 v1 v1", lrcanary.Observing: "v2 v1 v1 v1", lrcanary.Full: "v2 v2 v2 v2", lrcanary.Rejected: "v1 v1 v1 v1",
		lrcanary.Moved: "v2 v2 v2 v2",
	} {
		t.Run(stage.String(), func(t *testing.T) {
			w := newReleaseFixture(t, stage, step{body: "1"}, step{body: "2"}, step{body: "3"}, step{body: "4"})
			for range 4 {
				requireEqual(t, w.serve("read").status, 200)
			}
			requireEqual(t, w.releases(), want)
			requireEqual(t, fmt.Sprint(w.pipeline.Releases.Gauges(w.now)), w.expectedGauges(stage))
		})
	}
}

func (w *fixture) releases() string {
	releases := make([]string, 0, len(w.backend.attempts))
	for _, a := range w.backend.attempts {
		releases = append(releases, a.Server.Release)
	}
	return strings.Join(releases, " ")
}

func (w *fixture) expectedGauges(stage lrcanary.Stage) string {
	acknowledged := 0
	if stage == lrcanary.Full || stage == lrcanary.Moved {
		acknowledged = 1
	}
	return fmt.Sprint(map[uint64]lrcanary.Gauge{lrcanary.Entry{Name: "s", To: "v2", Duration: time.Minute}.Order(): {Acknowledged: acknowledged}})
}

// TestRepeatedRequestGoesToOldRelease guards against a request that a bad release fails twice, and failures that are not counted.
func TestRepeatedRequestGoesToOldRelease(t *testing.T) {
	w := newReleaseFixture(t, lrcanary.Observing, step{err: errTestBroken}, step{body: "well"})
	requireEqual(t, w.serve("read").status, 200)
	requireEqual(t, w.releases(), "v2 v1")
	status := w.pipeline.Releases.Statuses(w.now)[0]
	requireEqual(t, status.New.Failed, 1)
	requireEqual(t, status.Old.Answers, 1)
}

// TestUnavailableCanaryCostsNoRequest guards against refused requests while no new server can take one.
func TestUnavailableCanaryCostsNoRequest(t *testing.T) {
	w := newReleaseFixture(t, lrcanary.Observing, step{body: "well"})
	w.pipeline.Directory.MarkDisplaced("v2-a")
	w.pipeline.Directory.MarkDisplaced("v2-b")
	requireEqual(t, w.serve("pay").status, 200)
	requireEqual(t, w.releases(), "v1")
}
