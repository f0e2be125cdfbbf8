package lrrollout

import (
	"testing"
	"time"
)

// One load that a busy store of weights delays must not set the time of all others.
func TestLoadTimeFollowsSamplesSlowly(t *testing.T) {
	l := LoadTime{}
	requireEqual(t, l.Mean(time.Second), time.Second)
	l = l.WithSample(2 * time.Second)
	requireEqual(t, l.Mean(time.Second), 2*time.Second)
	requireEqual(t, l.WithSample(12*time.Second).Mean(0), 4*time.Second)
}
