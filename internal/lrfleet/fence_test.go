package lrfleet

import (
	"testing"
	"time"
)

// fencedRollout is the part in the rollout of an instance that may be the holder.
type fencedRollout struct {
	noRollout
	isHolder bool
	fence    uint64
}

func (r *fencedRollout) IsHolder(time.Time) bool  { return r.isHolder }
func (r *fencedRollout) HighestFence() uint64     { return r.fence }
func (r *fencedRollout) RecordFence(fence uint64) { r.fence = max(r.fence, fence) }

// TestAllInstancesKnowTheHighestFence guards against a fencing number that only its holder knows of: after the platform's store has lost its
// lease, the next holder would get the same number. It must spread also while there is no holder, without a claim that there is one.
func TestAllInstancesKnowTheHighestFence(t *testing.T) {
	for name, isHolder := range map[string]bool{"holder": true, "earlier holder": false} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(2)
			parts := map[string]*fencedRollout{}
			for _, s := range f.sharers {
				parts[s.Self.Name] = &fencedRollout{}
				s.Rollout = parts[s.Self.Name]
			}
			f.run(time.Second)
			parts["b1"].isHolder, parts["b1"].fence = isHolder, 7
			f.run(2 * time.Second)
			for _, s := range f.sharers {
				requireEqual(t, s.Self.Name, parts[s.Self.Name].fence, 7)
				requireEqual(t, s.Self.Name, s.HasOtherHolder(f.now), isHolder && s.Self.Name != "b1")
			}
		})
	}
}
