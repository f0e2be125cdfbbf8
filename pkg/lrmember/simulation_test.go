package lrmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simInterval  = 500 * time.Millisecond
	simZones     = 3
	faultSteps   = 240
	healthySteps = 80
)

// simInstance is one process of the simulation.
type simInstance struct {
	table       *Table
	schedule    *Schedule
	alive       bool
	pausedUntil int
	lastStep    int
}

// simulation runs tables over a network that loses, delays and repeats messages.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	step   int
	loss   float64
	// knownPeersOnly keeps instances from contacting addresses that are not in their member lists.
	knownPeersOnly bool
	// partitioned says from which zone to which other one all messages are lost.
	partitioned [simZones][simZones]bool
	instances   []*simInstance
	// delayed are the messages that arrive again in the next step.
	delayed []func()
	// highest is the highest incarnation that each name has had.
	highest map[string]uint64
}

func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	t.Helper()
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), loss: 0.2, highest: map[string]uint64{}}
	for n := range count {
		s.instances = append(s.instances, &simInstance{})
		s.start(n, fmt.Sprintf("router-%02d", n), uint64(n+1))
	}
	return s
}

func (s *simulation) now() time.Time { return time.Unix(0, 0).Add(time.Duration(s.step) * simInterval) }

func zoneOf(n int) int { return n % simZones }

// start runs a new process at the address of the instance.
func (s *simulation) start(n int, name string, incarnation uint64) {
	self := Member{
		Name: name, Zone: fmt.Sprint(zoneOf(n)), PeerAddress: fmt.Sprint(n), Incarnation: incarnation, Heartbeat: 1,
	}
	s.instances[n] = &simInstance{
		alive: true, lastStep: s.step, schedule: NewSchedule(s.random),
		table: NewTable(self, Options{SuspectTimeout: 8 * simInterval, DeadRetention: 10 * time.Minute, SyncInterval: 4 * simInterval}),
	}
}

func (s *simulation) reaches(from, to int) bool {
	receiver := s.instances[to]
	lost := s.random.Float64() < s.loss
	return !lost && receiver.alive && receiver.pausedUntil <= s.step && !s.partitioned[zoneOf(from)][zoneOf(to)]
}

func (s *simulation) exchange(from int, partner Member) {
	sender := s.instances[from]
	to := s.index(partner.PeerAddress)
	request := sender.table.Request(partner.Name)
	if s.random.Float64() < s.loss {
		receiver := s.instances[to]
		s.delayed = append(s.delayed, func() { receiver.table.HandleRequest(s.now(), request) })
	}
	if s.reaches(from, to) {
		receiver := s.instances[to]
		reply := receiver.table.HandleRequest(s.now(), request)
		if s.reaches(to, from) {
			if partner.Name != "" && reply.Sender.Name != partner.Name {
				sender.table.ProbeFailed(s.now(), partner.Name, partner.Incarnation)
			}
			sender.table.ApplyReply(s.now(), reply)
			return
		}
	}
	sender.table.ProbeFailed(s.now(), partner.Name, partner.Incarnation)
}

func (s *simulation) index(address string) int {
	var n int
	_, err := fmt.Sscan(address, &n)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// round runs what an instance does at each interval.
func (s *simulation) round(n int) {
	i := s.instances[n]
	if s.step-i.lastStep > 4 {
		i.table.Resume(s.now())
	}
	i.lastStep = s.step
	i.table.Expire(s.now())
	members := i.table.Members()
	probe, ok := i.schedule.NextProbe(i.table.Self(), members)
	if ok {
		s.exchange(n, probe)
	}
	if i.table.HasUpdates() {
		for _, m := range i.schedule.GossipTargets(i.table.Self(), members, 3) {
			s.exchange(n, m)
		}
	}
	if !s.knownPeersOnly && (s.step%4 == 0 || len(members) == 1) {
		address := s.random.IntN(len(s.instances))
		if address != n {
			s.exchange(n, Member{PeerAddress: fmt.Sprint(address)})
		}
	}
}

func (s *simulation) run(steps int, injectFault func()) {
	for range steps {
		s.step++
		injectFault()
		delayed := s.delayed
		s.delayed = nil
		for _, deliver := range delayed {
			deliver()
		}
		for _, n := range s.random.Perm(len(s.instances)) {
			if s.instances[n].alive && s.instances[n].pausedUntil <= s.step {
				s.round(n)
			}
		}
		s.checkIncarnations()
	}
}

// injectFault causes one random fault, in some of the steps.
func (s *simulation) injectFault() {
	n := s.random.IntN(len(s.instances))
	i := s.instances[n]
	self := i.table.Self()
	switch s.random.IntN(24) {
	case 0:
		i.alive = false
	case 1:
		s.start(n, self.Name, uint64(s.step)*10+uint64(s.random.IntN(200)))
	case 2:
		s.start(n, fmt.Sprintf("replacement-%d-%02d", s.step, n), uint64(s.step)*10)
	case 3:
		i.pausedUntil = s.step + s.random.IntN(40)
	case 4:
		s.partitioned[s.random.IntN(simZones)][s.random.IntN(simZones)] = true
	case 5, 6:
		s.partitioned[s.random.IntN(simZones)][s.random.IntN(simZones)] = false
	case 7:
		i.table.Leave()
	}
}

// heal ends all faults and restarts the instances that are stopped or leaving.
func (s *simulation) heal() {
	s.loss = 0
	s.partitioned = [simZones][simZones]bool{}
	for n, i := range s.instances {
		i.pausedUntil = 0
		if !i.alive || i.table.Self().Leaving {
			s.start(n, i.table.Self().Name, uint64(s.random.IntN(faultSteps*20)))
		}
	}
}

// checkIncarnations asserts that no member list contains an incarnation that has never run.
func (s *simulation) checkIncarnations() {
	for _, i := range s.instances {
		self := i.table.Self()
		s.highest[self.Name] = max(s.highest[self.Name], self.Incarnation)
	}
	for _, i := range s.instances {
		for _, m := range i.table.Members() {
			if m.Incarnation > s.highest[m.Name] {
				s.t.Fatalf("step %d: incarnation %d of %s has never run", s.step, m.Incarnation, m.Name)
			}
		}
	}
}

// checkConverged asserts that the member list of every instance contains exactly the running processes.
func (s *simulation) checkConverged() {
	want := make([]Member, 0, len(s.instances))
	for _, i := range s.instances {
		want = append(want, selfReported(i.table.Self()))
	}
	slices.SortFunc(want, byName)
	for _, i := range s.instances {
		got := i.table.Members()
		for n := range got {
			got[n] = selfReported(got[n])
		}
		if !slices.Equal(got, want) {
			s.t.Fatalf("%s has the members\n%v, want\n%v", i.table.Self().Name, got, want)
		}
	}
}

// selfReported returns the member without the fields that are not part of its own statements.
func selfReported(m Member) Member {
	m.ConfigVersion = 0
	return m
}

func TestMembersConvergeAfterFaults(t *testing.T) {
	for seed := range simSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, 15)
			s.run(faultSteps, s.injectFault)
			s.heal()
			s.run(healthySteps, func() {})
			s.checkConverged()
		})
	}
}

func TestDeadInstanceExpires(t *testing.T) {
	s := newSimulation(t, 1, 9)
	s.run(healthySteps, func() {})
	s.instances[4].alive = false
	s.run(healthySteps, func() {})
	for n, i := range s.instances {
		if n != 4 && len(i.table.Members()) != len(s.instances)-1 {
			t.Fatalf("instance %d still has %d members", n, len(i.table.Members()))
		}
	}
}

func TestReplacementSupersedesMemberAtItsAddress(t *testing.T) {
	s := newSimulation(t, 1, 2)
	s.loss = 0
	s.run(2, func() {})
	s.start(1, "replacement", 1)
	s.exchange(0, Member{Name: "router-01", PeerAddress: "1", Incarnation: 2})
	members := s.instances[0].table.Members()
	if len(members) != 2 || members[0].Name != "replacement" {
		t.Fatalf("members: %v", members)
	}
}

func TestPartitionedZonesMergeAfterOneExchange(t *testing.T) {
	s := newSimulation(t, 1, 12)
	s.loss = 0
	isolate := func(partitioned bool) {
		for zone := 1; zone < simZones; zone++ {
			s.partitioned[0][zone], s.partitioned[zone][0] = partitioned, partitioned
		}
	}
	isolate(true)
	s.run(healthySteps, func() {})
	isolate(false)
	s.knownPeersOnly = true
	s.exchange(0, Member{PeerAddress: "1"})
	s.run(healthySteps, func() {})
	s.checkConverged()
}

func TestLeavingSpreadsWithinFewRounds(t *testing.T) {
	s := newSimulation(t, 1, 60)
	s.loss = 0
	s.run(healthySteps, func() {})
	s.instances[7].table.Leave()
	s.run(4, func() {})
	for n, i := range s.instances {
		for _, m := range i.table.Members() {
			if m.Name == s.instances[7].table.Self().Name && !m.Leaving {
				t.Fatalf("instance %d does not know that %s is leaving", n, m.Name)
			}
		}
	}
}
