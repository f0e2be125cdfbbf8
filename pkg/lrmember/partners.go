package lrmember

import "math/rand/v2"

// A Schedule chooses the partners of exchanges. It visits every live member in turn, in an order of its own.
type Schedule struct {
	random *rand.Rand
	queue  []string
}

// NewSchedule returns a Schedule that draws from the source.
func NewSchedule(random *rand.Rand) *Schedule { return &Schedule{random: random} }

// Probe returns the next member to ask whether it is alive.
func (s *Schedule) Probe(self Member, members []Member) (Member, bool) {
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

// Spread returns at most n members to tell news. The last one is of another zone, the rest of the own one, while
// there are such.
func (s *Schedule) Spread(self Member, members []Member, n int) []Member {
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
	away := min(len(far), max(1, n-len(near)))
	home := min(len(near), n-min(away, n))
	return append(near[:home:home], far[:min(away, n)]...)
}

func (s *Schedule) shuffle(members []Member) {
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
