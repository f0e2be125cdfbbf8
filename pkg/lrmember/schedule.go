package lrmember

import "math/rand/v2"

// A Schedule chooses the partners of exchanges. It probes all live members in rounds, each in a new random order.
type Schedule struct {
	random *rand.Rand
	queue  []string
}

// NewSchedule returns a Schedule that uses the random generator.
func NewSchedule(random *rand.Rand) *Schedule { return &Schedule{random: random} }

// NextProbe returns the next member to probe.
func (s *Schedule) NextProbe(self Member, members []Member) (Member, bool) {
	byName := make(map[string]Member, len(members))
	for _, m := range members {
		byName[m.Name] = m
	}
	for range 2 {
		for len(s.queue) > 0 {
			m, ok := byName[s.queue[0]]
			s.queue = s.queue[1:]
			if ok && m.Name != self.Name {
				return m, true
			}
		}
		for _, n := range s.random.Perm(len(members)) {
			s.queue = append(s.queue, members[n].Name)
		}
	}
	return Member{}, false
}

// GossipTargets returns at most n random members to send updates to. One of them is from another availability zone and the rest
// from the own zone, as far as there are such members.
func (s *Schedule) GossipTargets(self Member, members []Member, n int) []Member {
	var near, far []Member
	for _, m := range members {
		switch {
		case m.Name == self.Name:
		case m.Zone == self.Zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	s.shuffle(near)
	s.shuffle(far)
	farCount := min(len(far), max(1, n-len(near)))
	nearCount := min(len(near), n-min(farCount, n))
	return append(near[:nearCount:nearCount], far[:min(farCount, n)]...)
}

func (s *Schedule) shuffle(members []Member) {
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
