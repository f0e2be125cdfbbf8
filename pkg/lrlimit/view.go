package lrlimit

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// A Member is one incarnation of an instance that can be the home of client accounts.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Address is the gRPC address, as IP:port.
	Address string `json:"address"`
}

// ID returns the name of the instance with its incarnation.
func (m Member) ID() string { return m.Name + "#" + strconv.FormatUint(m.Incarnation, 10) }

// A View is a numbered list of the instances of one availability zone that are homes. It is immutable.
type View struct {
	Zone   string `json:"zone"`
	Number uint64 `json:"number"`
	// Members are ordered by name.
	Members []Member `json:"members"`
	// Unconfirmed lists the IDs of members that were removed without confirmation that they have ended. They may act on an
	// earlier view until their lease has expired.
	Unconfirmed []string `json:"unproved,omitempty"`
	// SmallestMembership is the number of members in the smallest view that an unconfirmed member may act on.
	SmallestMembership int `json:"smallest"`
}

// Contains reports whether the incarnation of the instance is a member.
func (v View) Contains(m Member) bool { return slices.Contains(v.Members, m) }

// Supersedes reports whether the view has a later incarnation of the given member.
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

// WithMember returns the next view with the member added. It replaces an earlier incarnation of the same name. At the same
// address the earlier incarnation has ended, since it would still occupy the address. At another address its end is
// unconfirmed.
func (v View) WithMember(m Member) View {
	next := v.next()
	for _, o := range v.Members {
		if o.Name == m.Name && o.Address != m.Address {
			next.Unconfirmed = append(next.Unconfirmed, o.ID())
		}
	}
	next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o.Name == m.Name })
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// WithoutLeaver returns the next view without a member that has stopped making grants.
func (v View) WithoutLeaver(m Member) View {
	next := v.next()
	next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o == m })
	return next
}

// WithoutGone returns the next view without the members that were reported gone. It reports false when so many have to be
// removed that the removed members could still form a majority and confirm each other. With settled, no instance acts on an
// earlier view any more, so earlier removals no longer count.
func (v View) WithoutGone(gone []Member, settled bool) (View, bool) {
	next := v.next()
	if settled {
		next.Unconfirmed, next.SmallestMembership = nil, len(v.Members)
	}
	for _, m := range gone {
		next.Members = slices.DeleteFunc(next.Members, func(o Member) bool { return o == m })
		next.Unconfirmed = append(next.Unconfirmed, m.ID())
	}
	return next, 2*len(next.Unconfirmed) <= next.SmallestMembership
}

func (v View) next() View {
	v.Number++
	v.Members = slices.Clone(v.Members)
	v.Unconfirmed = slices.Clone(v.Unconfirmed)
	if v.SmallestMembership == 0 || len(v.Members) < v.SmallestMembership {
		v.SmallestMembership = len(v.Members)
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
