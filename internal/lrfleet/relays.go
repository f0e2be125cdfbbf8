package lrfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrhash"
)

// Instances returns the number of known instances, this one included.
func (s *Sharer) Instances() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.peers) + 1
}

// Rank returns how many other instances precede this one for work that one instance does for all. Instances of unreachable availability
// zones do not count.
func (s *Sharer) Rank(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	unreachable := s.unreachableZones(now)
	rank := 0
	for _, p := range s.peers {
		if precedes(p.Instance, s.Self) && !slices.Contains(unreachable, p.Zone) {
			rank++
		}
	}
	return rank
}

// IsFirstOfZone reports whether no other instance of the availability zone precedes this one.
func (s *Sharer) IsFirstOfZone() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.peers {
		if p.Zone == s.Self.Zone && precedes(p.Instance, s.Self) {
			return false
		}
	}
	return true
}

// IsOwner reports whether this instance reads the cache of the server, in the given availability zone, on behalf of all instances. The
// instances of a zone divide its servers by rendezvous hashing; all instances divide the servers of a zone without instances.
func (s *Sharer) IsOwner(server, zone string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hasNear := s.Self.Zone == zone || slices.Contains(s.otherZones(), zone)
	if hasNear && s.Self.Zone != zone {
		return false
	}
	own := lrhash.RendezvousScore(server, s.Self.Name)
	for _, p := range s.peers {
		if (!hasNear || p.Zone == zone) && lrhash.RendezvousScore(server, p.Name) > own {
			return false
		}
	}
	return true
}

// UnreachableZones returns the availability zones from which no messages arrive.
func (s *Sharer) UnreachableZones(now time.Time) map[string]bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	unreachable := map[string]bool{}
	for _, zone := range s.unreachableZones(now) {
		unreachable[zone] = true
	}
	return unreachable
}

// unreachableZones must be called with the mutex held.
func (s *Sharer) unreachableZones(now time.Time) []string {
	if now.Sub(s.startedAt) < unreachableAfter {
		return nil
	}
	if !s.isRelay(now) {
		return s.relayUnreachableZones
	}
	var unreachable []string
	for _, zone := range s.otherZones() {
		if now.Sub(s.zones.reports[zone].at) > zoneUnreachableAfter {
			unreachable = append(unreachable, zone)
		}
	}
	return unreachable
}

// otherZones must be called with the mutex held.
func (s *Sharer) otherZones() []string {
	var zones []string
	for _, p := range s.peers {
		if p.Zone != s.Self.Zone && !slices.Contains(zones, p.Zone) {
			zones = append(zones, p.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// relayOf returns the relay of the zone: its strongest instance that answers. It is nil where that is this instance. For another zone
// without such an instance it is the strongest one of those that failed. It must be called with the mutex held.
func (s *Sharer) relayOf(now time.Time, zone string) *peer {
	var best, failed *peer
	for _, p := range s.peers {
		if p.Zone != zone {
			continue
		}
		if now.Sub(p.failedAt) < relayRetryDelay && p.receivedAt.Before(p.failedAt) {
			failed = firstOf(failed, p)
			continue
		}
		best = firstOf(best, p)
	}
	if zone != s.Self.Zone {
		if best == nil {
			return failed
		}
		return best
	}
	if best == nil || precedes(s.Self, best.Instance) {
		return nil
	}
	return best
}

func firstOf(a, b *peer) *peer {
	if a == nil || precedes(b.Instance, a.Instance) {
		return b
	}
	return a
}

// precedes reports whether the first instance is preferred to the second one as relay: the stronger one, then by name.
func precedes(a, b Instance) bool {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), strings.Compare(a.Name, b.Name)) < 0
}

// isRelay reports whether this instance acts as the relay of its zone. It must be called with the mutex held.
func (s *Sharer) isRelay(now time.Time) bool {
	return s.relayOf(now, s.Self.Zone) == nil || now.Sub(s.reportedAt) < relayRoleDuration
}
