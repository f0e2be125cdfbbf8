package lrfleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestOutdatedForCountsFromFirstNewerVersion sets three desired versions in a row. An instance that has just started counts from its own
// start until it merges the ages that another instance knows.
func TestOutdatedForCountsFromFirstNewerVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	old, fresh := NewDirectory(zerolog.Nop()), NewDirectory(zerolog.Nop())
	for version := range int64(3) {
		old.SetDesired(now.Add(time.Duration(version)*2*time.Second), "m", version+2)
	}
	now = now.Add(5 * time.Second)
	requireEqual(t, "version 1", old.OutdatedFor(now, "m", 1), 5*time.Second)
	requireEqual(t, "version 3", old.OutdatedFor(now, "m", 3), time.Second)
	requireEqual(t, "version 4", old.OutdatedFor(now, "m", 4), 0)
	fresh.SetDesired(now, "m", 4)
	requireEqual(t, "version 1 before merging ages", fresh.OutdatedFor(now, "m", 1), 0)
	for _, age := range old.DesiredAges(now) {
		fresh.RecordDesiredAge(now, age)
	}
	requireEqual(t, "version 1 after merging ages", fresh.OutdatedFor(now, "m", 1), 5*time.Second)
	requireEqual(t, "version 3 after merging ages", fresh.OutdatedFor(now, "m", 3), time.Second)
	requireEqual(t, "wanted", fresh.DesiredVersions()["m"], 4)
}

// TestVersionsNeverGoBack applies a list that lags behind the version that a server has already shown. Only a restart of the server
// resets it.
func TestVersionsNeverGoBack(t *testing.T) {
	d := NewDirectory(zerolog.Nop())
	restarted := ""
	d.OnRestart(func(server string) { restarted = server })
	listed := map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 1, Versions: map[string]int64{"m": 1}}}
	d.SetServers(listed)
	d.RecordVersion("e", "m", 2)
	requireEqual(t, "restarted", restarted, "e")
	d.SetServers(listed)
	s, _ := d.Server("e")
	requireEqual(t, "version", s.Versions["m"], 2)
	restarted = ""
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 2, Versions: map[string]int64{"m": 1}}})
	s, _ = d.Server("e")
	requireEqual(t, "version after a restart", s.Versions["m"], 1)
	requireEqual(t, "restarted", restarted, "e")
}

// TestListTakesBackAVersion has an order that is carried out late bring a server back to earlier weights, which its entry says. The version
// that it had was believed for good, so that no order brought it forward again. Reports that are older than the list must not restore it.
func TestListTakesBackAVersion(t *testing.T) {
	d := NewDirectory(zerolog.Nop())
	list := func(version int64) {
		d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 1, Versions: map[string]int64{"m": version}}})
	}
	requireVersion := func(what string, want int64) {
		t.Helper()
		s, _ := d.Server("e")
		requireEqual(t, what, s.Versions["m"], want)
	}
	list(2)
	list(3)
	restarted := ""
	d.OnRestart(func(server string) { restarted = server })
	list(2)
	requireVersion("taken back", 2)
	requireEqual(t, "has lost its cache", restarted, "e")
	d.RecordVersion("e", "m", 3)
	list(2)
	requireVersion("after an old report", 2)
	d.RecordVersion("e", "m", 3)
	requireVersion("after an old report that follows the list", 2)
	d.RecordLoaded("e", "m", 3)
	list(2)
	requireVersion("after an order, before the list says so", 3)
	list(3)
	list(2)
	requireVersion("taken back again", 2)
	list(3)
	d.RecordVersion("e", "m", 4)
	list(3)
	requireVersion("reported by the server", 4)
}

// TestDisplacedServerReturnsAfterRestart checks that a displaced server is omitted until the list shows another start of it.
func TestDisplacedServerReturnsAfterRestart(t *testing.T) {
	d := NewDirectory(zerolog.Nop())
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 1}})
	d.MarkDisplaced("e")
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 0)
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 1, Slots: 2}})
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 0)
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Incarnation: 2}})
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 1)
}

// TestCandidatesIncludeClosingAndOutdatedState checks that candidates are the servers of the service that are not leaving, with their
// closing and outdated state.
func TestCandidatesIncludeClosingAndOutdatedState(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(zerolog.Nop())
	d.SetServers(map[string]Server{
		"a": {ID: "a", Service: "s", Versions: map[string]int64{"m": 1}},
		"b": {ID: "b", Service: "s", Versions: map[string]int64{"m": 2}},
		"c": {ID: "c", Service: "s", IsLeaving: true},
		"d": {ID: "d", Service: "other"},
	})
	d.SetDesired(now, "m", 2)
	d.SetClosing([]string{"b"})
	candidates := d.Candidates(now.Add(time.Second), "s", "m")
	requireEqual(t, "candidates", len(candidates), 2)
	requireEqual(t, "a is outdated for", candidates[0].OutdatedFor, time.Second)
	requireEqual(t, "a is closing", candidates[0].IsClosing, false)
	requireEqual(t, "b is outdated for", candidates[1].OutdatedFor, 0)
	requireEqual(t, "b is closing", candidates[1].IsClosing, true)
}
