package lrfleet

import (
	"fmt"
	"testing"
)

// TestEachServerHasOneOwner checks that the servers of a zone are divided among its instances, and those of a zone without instances
// among all.
func TestEachServerHasOneOwner(t *testing.T) {
	const servers = 90
	f := newTestFleet(3)
	for _, zone := range []string{"a", "c", "elsewhere"} {
		t.Run(zone, func(t *testing.T) {
			owned := map[string]int{}
			for n := range servers {
				owners := 0
				for _, s := range f.sharers {
					if s.IsOwner(fmt.Sprint("server", n), zone) {
						owners++
						owned[s.Self.Name]++
						requireEqual(t, "zone of the owner", s.Self.Zone == zone || zone == "elsewhere", true)
					}
				}
				requireEqual(t, "owners", owners, 1)
			}
			for name, count := range owned {
				requireEqual(t, name+" owns about its share", count > servers/len(owned)/3 && count < servers*3/len(owned), true)
			}
		})
	}
}
