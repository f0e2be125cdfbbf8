package lrsettings

import "testing"

// TestOnlyRolloutsMayBeEmpty guards against instances that do not start where the platform leaves the bound of exposure empty, and against
// numbers that are left out by mistake.
func TestOnlyRolloutsMayBeEmpty(t *testing.T) {
	settings, mistakes := Parse("test", []byte("[rollouts]\nexposureShare =\n"))
	without, others := Parse("test", nil)
	if settings.Rollouts.ExposureShare != without.Rollouts.ExposureShare || len(mistakes) != len(others) {
		t.Fatalf("share %v, mistakes %v", settings.Rollouts.ExposureShare, mistakes)
	}
	_, mistakes = Parse("test", []byte("[retries]\nshare =\n"))
	if len(mistakes) != len(others)+1 {
		t.Fatalf("mistakes %v", mistakes)
	}
}
