package lrmember

import (
	"fmt"
	"testing"
)

func TestMembersAgreeOnRank(t *testing.T) {
	members := make([]Member, 0, 30)
	for n := range 30 {
		members = append(members, Member{Name: fmt.Sprint("router-", n), Zone: fmt.Sprint(n % simZones), Leaving: n%10 == 9})
	}
	ranks, firsts := map[string]int{}, 0
	for _, m := range members {
		if m.Leaving {
			continue
		}
		ranks[fmt.Sprint(m.Zone, "/", WatchRank(members, m))]++
		if FirstMember(members).Name == m.Name {
			firsts++
		}
	}
	if len(ranks) != 27 || firsts != 1 {
		t.Fatalf("%d different ranks of 27, %d first members", len(ranks), firsts)
	}
}
