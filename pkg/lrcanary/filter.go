package lrcanary

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Server is a backend server of a service.
type Server struct {
	ID      string
	Release string
}

// A Filter says which servers a request may be sent to. A nil Filter allows all.
type Filter struct {
	// releases are the allowed releases if isOnly is set, and the excluded ones otherwise.
	releases map[string]bool
	isOnly   bool
	// servers are the only allowed ones, if not nil.
	servers map[string]bool
}

// Allows reports whether the request may be sent to the server.
func (f *Filter) Allows(id, release string) bool {
	if f == nil {
		return true
	}
	if f.servers != nil && !f.servers[id] {
		return false
	}
	return f.releases[release] == f.isOnly
}

// minCanaries is the number of new servers that get requests at least. With two of them, one that is unhealthy is told from a bad release.
const minCanaries = 2

// canaries returns the new servers that get requests at the share: so many that each of them has about the load of an old one. All
// instances choose the same ones, from as many groups as possible.
func canaries(order uint64, servers []Server, to string, old int, share float64) map[string]bool {
	var ids []string
	for _, s := range servers {
		if s.Release == to {
			ids = append(ids, s.ID)
		}
	}
	wanted := max(int(math.Ceil(share*float64(old))), minCanaries)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(order, a), score(order, b)), strings.Compare(a, b))
	})
	chosen, taken := map[string]bool{}, [groups]int{}
	for round := 0; len(chosen) < min(wanted, len(ids)); round++ {
		for _, id := range ids {
			if group := GroupOf(id); len(chosen) < wanted && !chosen[id] && taken[group] <= round {
				chosen[id] = true
				taken[group]++
			}
		}
	}
	return chosen
}

func score(order uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(order)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
