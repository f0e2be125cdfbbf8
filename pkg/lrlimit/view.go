package lrlimit

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// A Member is one process that can be the home of client accounts.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address is the gRPC address, as IP:port.
	Address string `json:"address"`
}

// ID names the process, with its incarnation.
func (m Member) ID() string { return m.Name + "#" + strconv.FormatUint(m.Incarnation, 10) }

// A View is a numbered list of the processes of one availability zone that are homes. It is immutable.
type View struct {
	Zone   string `json:"zone"`
	Number uint64 `json:"number"`
	// Members are ordered by name.
	Members []Member `json:"members"`
	// Unproved names the processes that were removed without proof that they have ended. They may act on an earlier
	// view until their tenure has lapsed.
	Unproved []string `json:"unproved,omitempty"`
	// Smallest is the number of members in the smallest view that an unproved process may act on.
	Smallest int `json:"smallest"`
}

// Contains reports whether the process is a member.
func (v View) Contains(m Member) bool { return slices.Contains(v.Members, m) }

// Supersedes reports whether a later process has the name of the given one.
func (v View) Supersedes(m Member) bool {
	return slices.ContainsFunc(v.Members, func(o Member) bool { return o.Name == m.Name && o.Incarnation > m.Incarnation })
}

// Home returns the member that is the home of the client account, by rendezvous hashing over the names.
func (v View) Home(account string) (Member, bool) {
	var best Member
	var bestScore uint64
	for _, m := range v.Members {
		score := rendezvousScore(m.Name, account)
		if best.Name == "" || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, best.Name != ""
}

// WithMember returns the next view with the process in it, in the place of an earlier process of the same name. At the
// same address the earlier process has ended, since it would still hold the address. At another one that is unproved.
func (v View) WithMember(m Member) View {
	next := v.next()
	for _, o := range v.Members {
		if o.Name == m.Name && o.Address != m.Address {
			next.Unproved = append(next.Unproved, o.ID())
		}
	}
	next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o.Name == m.Name })
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// WithoutLeaver returns the next view without a process that grants no more.
func (v View) WithoutLeaver(m Member) View {
	next := v.next()
	next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o == m })
	return next
}

// WithoutGone returns the next view without the processes that were reported gone. It reports false when so many have
// to go that those removed could still confirm each other. A settled view has no process left that acts on an earlier one.
func (v View) WithoutGone(gone []Member, settled bool) (View, bool) {
	next := v.next()
	if settled {
		next.Unproved, next.Smallest = nil, len(v.Members)
	}
	for _, m := range gone {
		next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o == m })
		next.Unproved = append(next.Unproved, m.ID())
	}
	return next, 2*len(next.Unproved) <= next.Smallest
}

func (v View) next() View {
	v.Number++
	v.Members = slices.Clone(v.Members)
	v.Unproved = slices.Clone(v.Unproved)
	if v.Smallest == 0 || len(v.Members) < v.Smallest {
		v.Smallest = len(v.Members)
	}
	return v
}

func rendezvousScore(member, account string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(account))
	score := hash.Sum64()
	score ^= score >> 33
	score *= 0xff51afd7ed558ccd
	score ^= score >> 33
	return score
}
