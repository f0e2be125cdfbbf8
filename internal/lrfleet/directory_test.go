package lrfleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestAgeOfWeightsCountsFromTheFirstNewerVersion names three versions in a row, as an instance that was there and one
// that has just started see them.
func TestAgeOfWeightsCountsFromTheFirstNewerVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	old, fresh := NewDirectory(zerolog.Nop()), NewDirectory(zerolog.Nop())
	for version := range int64(3) {
		old.SetWanted(now.Add(time.Duration(version)*2*time.Second), "m", version+2)
	}
	now = now.Add(5 * time.Second)
	requireEqual(t, "version 1", old.OutdatedFor(now, "m", 1), 5*time.Second)
	requireEqual(t, "version 3", old.OutdatedFor(now, "m", 3), time.Second)
	requireEqual(t, "version 4", old.OutdatedFor(now, "m", 4), 0)
	fresh.SetWanted(now, "m", 4)
	requireEqual(t, "version 1 at first", fresh.OutdatedFor(now, "m", 1), 0)
	for _, age := range old.WantedAges(now) {
		fresh.NoteWantedAge(now, age)
	}
	requireEqual(t, "version 1 when told", fresh.OutdatedFor(now, "m", 1), 5*time.Second)
	requireEqual(t, "version 3 when told", fresh.OutdatedFor(now, "m", 3), time.Second)
	requireEqual(t, "wanted", fresh.WantedVersions()["m"], 4)
}

// TestVersionsNeverGoBack merges lists that lag behind what answers have shown.
func TestVersionsNeverGoBack(t *testing.T) {
	d := NewDirectory(zerolog.Nop())
	restarted := ""
	d.OnRestart(func(server string) { restarted = server })
	listed := map[string]Server{"e": {ID: "e", Service: "s", Born: 1, Versions: map[string]int64{"m": 1}}}
	d.SetServers(listed)
	d.NoteVersion("e", "m", 2)
	requireEqual(t, "restarted", restarted, "e")
	d.SetServers(listed)
	s, _ := d.Server("e")
	requireEqual(t, "version", s.Versions["m"], 2)
	restarted = ""
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Born: 2, Versions: map[string]int64{"m": 1}}})
	s, _ = d.Server("e")
	requireEqual(t, "version after a restart", s.Versions["m"], 1)
	requireEqual(t, "restarted", restarted, "e")
}

// TestDisplacedServerComesBackWithItsNextStart leaves a server out until the list tells of another start.
func TestDisplacedServerComesBackWithItsNextStart(t *testing.T) {
	d := NewDirectory(zerolog.Nop())
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Born: 1}})
	d.Displaced("e")
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 0)
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Born: 1, Slots: 2}})
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 0)
	d.SetServers(map[string]Server{"e": {ID: "e", Service: "s", Born: 2}})
	requireEqual(t, "servers", len(d.Candidates(time.Unix(1000, 0), "s", "")), 1)
}

// TestCandidatesTellWhatMattersToARequest reads closing and outdated servers in one look.
func TestCandidatesTellWhatMattersToARequest(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(zerolog.Nop())
	d.SetServers(map[string]Server{
		"a": {ID: "a", Service: "s", Versions: map[string]int64{"m": 1}},
		"b": {ID: "b", Service: "s", Versions: map[string]int64{"m": 2}},
		"c": {ID: "c", Service: "s", IsLeaving: true},
		"d": {ID: "d", Service: "other"},
	})
	d.SetWanted(now, "m", 2)
	d.SetClosing([]string{"b"})
	candidates := d.Candidates(now.Add(time.Second), "s", "m")
	requireEqual(t, "candidates", len(candidates), 2)
	requireEqual(t, "a is outdated for", candidates[0].OutdatedFor, time.Second)
	requireEqual(t, "a is closing", candidates[0].IsClosing, false)
	requireEqual(t, "b is outdated for", candidates[1].OutdatedFor, 0)
	requireEqual(t, "b is closing", candidates[1].IsClosing, true)
}
