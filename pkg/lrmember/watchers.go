package lrmember

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Rank returns the place of the member among the live ones of its zone that could watch the platform. Members that
// know the same roster agree on it without a message.
func Rank(members []Member, self Member) int {
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

// First returns the first of the members that are not leaving, over all zones, in the order that Rank uses.
func First(members []Member) Member {
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
