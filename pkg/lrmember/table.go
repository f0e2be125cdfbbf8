package lrmember

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// maxRecords bounds the records of one message that does not carry everything.
	maxRecords = 64
	// spreadFactor times the logarithm of the number of members is how often a piece of news is handed out.
	spreadFactor = 3
)

// Options are the times after which a Table changes its mind.
type Options struct {
	// SuspectTimeout is how long a suspect may take to refute.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead member is remembered, so that late news of it are known to be late.
	DeadRetention time.Duration
	// SyncInterval is the least time between two messages that carry everything.
	SyncInterval time.Duration
}

// A Table is what one instance knows of all instances. It is not safe for use by several goroutines.
type Table struct {
	options Options
	self    Member
	entries map[string]entry
	rumors  *Rumors[string, Member]
	// listedLeaving holds the addresses of the members that the platform lists as leaving.
	listedLeaving map[string]string
	syncAfter     time.Time
	changes       uint64
}

type entry struct {
	member Member
	since  time.Time
}

// NewTable returns a Table that knows of the own instance only.
func NewTable(self Member, options Options) *Table {
	return &Table{
		options: options, self: self, entries: map[string]entry{}, rumors: NewRumors[string, Member](),
		listedLeaving: map[string]string{},
	}
}

// Self returns the own member.
func (t *Table) Self() Member { return t.self }

// SetConfigVersion notes the version of the configuration in force on this instance.
func (t *Table) SetConfigVersion(version uint64) { t.self.ConfigVersion = version }

// Leave makes the own member say that it is leaving.
func (t *Table) Leave() { t.restate(t.self.WithLeaving(), t.self.Heartbeat) }

// SetListedLeaving replaces the names and peer addresses of the members that the platform lists as leaving.
func (t *Table) SetListedLeaving(leaving map[string]string) { t.listedLeaving = leaving }

// Members returns the live members, the own one among them, ordered by name.
func (t *Table) Members() []Member {
	members := []Member{t.self}
	for _, e := range t.entries {
		if e.member.State == Dead {
			continue
		}
		m := e.member
		address, listed := t.listedLeaving[m.Name]
		m.Leaving = m.Leaving || (listed && address == m.PeerAddress)
		members = append(members, m)
	}
	slices.SortFunc(members, byName)
	return members
}

// Remembered returns the dead members that are not forgotten yet, ordered by name.
func (t *Table) Remembered() []Member {
	var dead []Member
	for _, e := range t.entries {
		if e.member.State == Dead {
			dead = append(dead, e.member)
		}
	}
	slices.SortFunc(dead, byName)
	return dead
}

// HasNews reports whether there is news that others may not have heard.
func (t *Table) HasNews() bool { return t.rumors.Len() > 0 }

// Changes returns the number of changes to what the table knows up to now.
func (t *Table) Changes() uint64 { return t.changes }

// Request returns the message that opens an exchange with the partner. The partner is told how it is believed to be.
func (t *Table) Request(partner string) Message {
	message := t.message()
	e, ok := t.entries[partner]
	if ok && e.member.State != Alive {
		message.Records = append(message.Records, e.member)
	}
	message.WantsAll = len(t.entries) == 0
	return message
}

// Answer takes in the message of the other side and returns the reply.
func (t *Table) Answer(now time.Time, request Message) Message {
	before := t.entries[request.Sender.Name].member
	t.take(now, request)
	reply := t.message()
	if before.State != Alive {
		reply.Records = append(reply.Records, before)
	}
	if request.WantsAll || t.mayShareAll(now, request.Digest) {
		reply.Records = append(t.all(), reply.Records...)
		reply.WantsAll = true
	}
	return reply
}

// TakeReply takes in the reply to a request. It spreads what the other side turned out not to know.
func (t *Table) TakeReply(now time.Time, reply Message) {
	t.take(now, reply)
	if !reply.WantsAll {
		return
	}
	known := make(map[string]Member, len(reply.Records))
	for _, r := range reply.Records {
		known[r.Name] = r
	}
	for name, e := range t.entries {
		r, ok := known[name]
		if name != reply.Sender.Name && (!ok && e.member.State != Dead || ok && e.member.Supersedes(r)) {
			t.rumors.Put(name, e.member)
		}
	}
}

// Failed notes that the member did not answer.
func (t *Table) Failed(now time.Time, name string, incarnation uint64) {
	e, ok := t.entries[name]
	if ok && e.member.State == Alive && e.member.Incarnation == incarnation {
		t.set(now, e.member.WithState(Suspect))
	}
}

// Expire declares suspects dead that did not refute in time, and forgets the dead after their retention.
func (t *Table) Expire(now time.Time) {
	for name, e := range t.entries {
		age := now.Sub(e.since)
		switch {
		case e.member.State == Suspect && age >= t.options.SuspectTimeout:
			t.set(now, e.member.WithState(Dead))
		case e.member.State == Dead && age >= t.options.DeadRetention:
			delete(t.entries, name)
		}
	}
}

// Resume gives every suspect its whole time again, since the own process did not run and could not hear it refute.
func (t *Table) Resume(now time.Time) {
	for name, e := range t.entries {
		if e.member.State == Suspect {
			t.entries[name] = entry{member: e.member, since: now}
		}
	}
}

func (t *Table) message() Message {
	times := spreadFactor * bits.Len(uint(len(t.entries)+1))
	return Message{Sender: t.self, Records: t.rumors.Take(maxRecords, times), Digest: t.digest()}
}

func (t *Table) digest() uint64 {
	digest := t.self.digest()
	for _, e := range t.entries {
		if e.member.State != Dead {
			digest ^= e.member.digest()
		}
	}
	return digest
}

func (t *Table) mayShareAll(now time.Time, digest uint64) bool {
	if digest == t.digest() || now.Before(t.syncAfter) {
		return false
	}
	t.syncAfter = now.Add(t.options.SyncInterval)
	return true
}

func (t *Table) all() []Member {
	members := slices.Collect(maps.Keys(t.entries))
	slices.Sort(members)
	records := make([]Member, 0, len(members))
	for _, name := range members {
		records = append(records, t.entries[name].member)
	}
	return records
}

func (t *Table) take(now time.Time, message Message) {
	for _, r := range message.Records {
		t.hear(now, r)
	}
	t.contacted(now, message.Sender)
}

// hear takes in news of a member from another one.
func (t *Table) hear(now time.Time, m Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	e, ok := t.entries[m.Name]
	if !ok && m.State == Dead {
		return
	}
	if !ok || m.Supersedes(e.member) {
		m.ConfigVersion = max(m.ConfigVersion, e.member.ConfigVersion)
		t.set(now, m)
	}
}

// contacted takes in what a member says of itself. Another member at its address has been replaced by it.
func (t *Table) contacted(now time.Time, m Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	t.hear(now, m)
	e, ok := t.entries[m.Name]
	if !ok || e.member.Incarnation != m.Incarnation {
		return
	}
	e.member.ConfigVersion = m.ConfigVersion
	t.entries[m.Name] = e
	for name, other := range t.entries {
		if name != m.Name && other.member.PeerAddress == m.PeerAddress && other.member.State != Dead {
			t.set(now, other.member.WithState(Dead))
		}
	}
}

// refute answers news of the own member that are wrong, or that stem from an earlier process of its name.
func (t *Table) refute(m Member) {
	switch {
	case m.Incarnation < t.self.Incarnation:
		return
	case m.Incarnation > t.self.Incarnation:
		t.self.Incarnation = m.Incarnation + 1
		t.restate(t.self, 0)
	case m.Heartbeat > t.self.Heartbeat || (m.Heartbeat == t.self.Heartbeat && m.State != Alive):
		t.restate(t.self, m.Heartbeat)
	}
}

func (t *Table) restate(self Member, above uint64) {
	t.self = self.WithHeartbeat(above + 1)
	t.rumors.Put(t.self.Name, t.self)
}

func (t *Table) set(now time.Time, m Member) {
	t.entries[m.Name] = entry{member: m, since: now}
	t.rumors.Put(m.Name, m)
	t.changes++
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }
