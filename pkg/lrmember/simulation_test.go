package lrmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simInterval = 500 * time.Millisecond
	simZones    = 3
	chaosSteps  = 240
	calmSteps   = 80
)

// simInstance is one process of the simulation.
type simInstance struct {
	table       *Table
	schedule    *Schedule
	alive       bool
	pausedUntil int
	lastStep    int
}

// simulation drives tables over a network that loses, delays and repeats messages.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	step   int
	loss   float64
	// noStrangers keeps instances from trying addresses that are not on their rosters.
	noStrangers bool
	cut         [simZones][simZones]bool
	instances   []*simInstance
	late        []func()
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
	return !lost && receiver.alive && receiver.pausedUntil <= s.step && !s.cut[zoneOf(from)][zoneOf(to)]
}

func (s *simulation) exchange(from int, partner Member) {
	sender := s.instances[from]
	to := s.index(partner.PeerAddress)
	request := sender.table.Request(partner.Name)
	if s.random.Float64() < s.loss {
		receiver := s.instances[to]
		s.late = append(s.late, func() { receiver.table.Answer(s.now(), request) })
	}
	if s.reaches(from, to) {
		receiver := s.instances[to]
		reply := receiver.table.Answer(s.now(), request)
		if s.reaches(to, from) {
			if partner.Name != "" && reply.Sender.Name != partner.Name {
				sender.table.Failed(s.now(), partner.Name, partner.Incarnation)
			}
			sender.table.TakeReply(s.now(), reply)
			return
		}
	}
	sender.table.Failed(s.now(), partner.Name, partner.Incarnation)
}

func (s *simulation) index(address string) int {
	var n int
	_, err := fmt.Sscan(address, &n)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// round does what one instance does at each interval.
func (s *simulation) round(n int) {
	i := s.instances[n]
	if s.step-i.lastStep > 4 {
		i.table.Resume(s.now())
	}
	i.lastStep = s.step
	i.table.Expire(s.now())
	members := i.table.Members()
	probe, ok := i.schedule.Probe(i.table.Self(), members)
	if ok {
		s.exchange(n, probe)
	}
	if i.table.HasNews() {
		for _, m := range i.schedule.Spread(i.table.Self(), members, 3) {
			s.exchange(n, m)
		}
	}
	if !s.noStrangers && (s.step%4 == 0 || len(members) == 1) {
		address := s.random.IntN(len(s.instances))
		if address != n {
			s.exchange(n, Member{PeerAddress: fmt.Sprint(address)})
		}
	}
}

func (s *simulation) run(steps int, disturb func()) {
	for range steps {
		s.step++
		disturb()
		late := s.late
		s.late = nil
		for _, deliver := range late {
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

// disturb brings about one fault of a random kind, in some of the steps.
func (s *simulation) disturb() {
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
		s.cut[s.random.IntN(simZones)][s.random.IntN(simZones)] = true
	case 5, 6:
		s.cut[s.random.IntN(simZones)][s.random.IntN(simZones)] = false
	case 7:
		i.table.Leave()
	}
}

// calm ends every fault and brings up every instance.
func (s *simulation) calm() {
	s.loss = 0
	s.cut = [simZones][simZones]bool{}
	for n, i := range s.instances {
		i.pausedUntil = 0
		if !i.alive || i.table.Self().Leaving {
			s.start(n, i.table.Self().Name, uint64(s.random.IntN(chaosSteps*20)))
		}
	}
}

// checkIncarnations asserts that nobody believes in a process that never was.
func (s *simulation) checkIncarnations() {
	for _, i := range s.instances {
		self := i.table.Self()
		s.highest[self.Name] = max(s.highest[self.Name], self.Incarnation)
	}
	for _, i := range s.instances {
		for _, m := range i.table.Members() {
			if m.Incarnation > s.highest[m.Name] {
				s.t.Fatalf("step %d: incarnation %d of %s never was", s.step, m.Incarnation, m.Name)
			}
		}
	}
}

// checkConverged asserts that every instance has the same roster of exactly the running processes.
func (s *simulation) checkConverged() {
	want := make([]Member, 0, len(s.instances))
	for _, i := range s.instances {
		want = append(want, statement(i.table.Self()))
	}
	slices.SortFunc(want, byName)
	for _, i := range s.instances {
		got := i.table.Members()
		for n := range got {
			got[n] = statement(got[n])
		}
		if !slices.Equal(got, want) {
			s.t.Fatalf("%s has the roster\n%v, want\n%v", i.table.Self().Name, got, want)
		}
	}
}

// statement returns what the member says of itself.
func statement(m Member) Member {
	m.ConfigVersion = 0
	return m
}

func TestRosterConvergesAfterFaults(t *testing.T) {
	for seed := range simSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, 15)
			s.run(chaosSteps, s.disturb)
			s.calm()
			s.run(calmSteps, func() {})
			s.checkConverged()
		})
	}
}

func TestDeadInstanceExpires(t *testing.T) {
	s := newSimulation(t, 1, 9)
	s.run(calmSteps, func() {})
	s.instances[4].alive = false
	s.run(calmSteps, func() {})
	for n, i := range s.instances {
		if n != 4 && len(i.table.Members()) != len(s.instances)-1 {
			t.Fatalf("instance %d still has %d members", n, len(i.table.Members()))
		}
	}
}

func TestReplacedInstanceIsNotMistaken(t *testing.T) {
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

func TestZonesMergeByOneContact(t *testing.T) {
	s := newSimulation(t, 1, 12)
	s.loss = 0
	isolate := func(cut bool) {
		for zone := 1; zone < simZones; zone++ {
			s.cut[0][zone], s.cut[zone][0] = cut, cut
		}
	}
	isolate(true)
	s.run(calmSteps, func() {})
	isolate(false)
	s.noStrangers = true
	s.exchange(0, Member{PeerAddress: "1"})
	s.run(calmSteps, func() {})
	s.checkConverged()
}

func TestLeavingSpreadsWithinFewRounds(t *testing.T) {
	s := newSimulation(t, 1, 60)
	s.loss = 0
	s.run(calmSteps, func() {})
	s.instances[7].table.Leave()
	s.run(4, func() {})
	for n, i := range s.instances {
		for _, m := range i.table.Members() {
			if m.Name == s.instances[7].table.Self().Name && !m.Leaving {
				t.Fatalf("instance %d has not heard that %s is leaving", n, m.Name)
			}
		}
	}
}
