package lrmember

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// WatchRank returns the position of the member in the order of those members of its zone that are not leaving. The order
// decides which members watch the platform. Members with equal member lists agree on it without an exchange.
func WatchRank(members []Member, self Member) int {
	var names []string
	for _, m := range members {
		if m.Zone == self.Zone && m.Name != self.Name && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	own := weight(self.Name)
	return len(slices.DeleteFunc(names, func(n string) bool {
		return cmp.Or(cmp.Compare(weight(n), own), cmp.Compare(n, self.Name)) > 0
	}))
}

// FirstMember returns the first of the members that are not leaving, over all zones, in the same order as Rank. It returns the
// zero Member when there is none.
func FirstMember(members []Member) Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Leaving })
	if len(live) == 0 {
		return Member{}
	}
	return slices.MinFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(a.Name), weight(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

func weight(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
