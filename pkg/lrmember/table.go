package lrmember

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// maxRecords bounds the queued updates in one message.
	maxRecords = 64
	// gossipFactor times the binary logarithm of the number of members is how many times an update is sent.
	gossipFactor = 3
)

// Options are the timeouts and intervals of a Table.
type Options struct {
	// SuspectTimeout is how long a suspect has to refute the suspicion.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead member is remembered, so that delayed updates about it are recognized as
	// outdated.
	DeadRetention time.Duration
	// SyncInterval is the least time between two replies with all records that are sent because the digests differ.
	SyncInterval time.Duration
}

// A Table is the state of all instances as one instance knows it. It is not safe for concurrent use.
type Table struct {
	options Options
	self    Member
	entries map[string]entry
	gossip  *GossipQueue[string, Member]
	// listedLeaving maps the names of members that the platform lists as leaving to their peer addresses.
	listedLeaving map[string]string
	syncAfter     time.Time
	changes       uint64
}

type entry struct {
	member Member
	since  time.Time
}

// NewTable returns a Table that contains only the own member.
func NewTable(self Member, options Options) *Table {
	return &Table{
		options: options, self: self, entries: map[string]entry{}, gossip: NewGossipQueue[string, Member](),
		listedLeaving: map[string]string{},
	}
}

// Self returns the own member.
func (t *Table) Self() Member { return t.self }

// SetConfigVersion sets the version of the configuration that is active on this instance.
func (t *Table) SetConfigVersion(version uint64) { t.self.ConfigVersion = version }

// Leave marks the own member as leaving.
func (t *Table) Leave() { t.announceSelf(t.self.WithLeaving(), t.self.Heartbeat) }

// SetListedLeaving replaces the names and peer addresses of the members that the platform lists as leaving.
func (t *Table) SetListedLeaving(leaving map[string]string) { t.listedLeaving = leaving }

// Members returns the members that are not dead, including the own one, sorted by name.
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

// DeadMembers returns the dead members within their retention, sorted by name.
func (t *Table) DeadMembers() []Member {
	var dead []Member
	for _, e := range t.entries {
		if e.member.State == Dead {
			dead = append(dead, e.member)
		}
	}
	slices.SortFunc(dead, byName)
	return dead
}

// HasUpdates reports whether updates are queued for other members.
func (t *Table) HasUpdates() bool { return t.gossip.Len() > 0 }

// Changes returns the number of changes of member records so far.
func (t *Table) Changes() uint64 { return t.changes }

// Request returns the message that opens an exchange with the partner. If the partner is a suspect or dead here, the
// message says so, so that it can refute.
func (t *Table) Request(partner string) Message {
	message := t.message()
	e, ok := t.entries[partner]
	if ok && e.member.State != Alive {
		message.Records = append(message.Records, e.member)
	}
	message.FullSync = len(t.entries) == 0
	return message
}

// HandleRequest applies a request and returns the reply.
func (t *Table) HandleRequest(now time.Time, request Message) Message {
	before := t.entries[request.Sender.Name].member
	t.apply(now, request)
	reply := t.message()
	if before.State != Alive {
		reply.Records = append(reply.Records, before)
	}
	if request.FullSync || t.allowFullSync(now, request.Digest) {
		reply.Records = append(t.allRecords(), reply.Records...)
		reply.FullSync = true
	}
	return reply
}

// ApplyReply applies the reply to a request. When the reply contains all records of the other side, it queues those
// updates that the other side lacks.
func (t *Table) ApplyReply(now time.Time, reply Message) {
	t.apply(now, reply)
	if !reply.FullSync {
		return
	}
	known := make(map[string]Member, len(reply.Records))
	for _, r := range reply.Records {
		known[r.Name] = r
	}
	for name, e := range t.entries {
		r, ok := known[name]
		if name != reply.Sender.Name && (!ok && e.member.State != Dead || ok && e.member.Supersedes(r)) {
			t.gossip.Put(name, e.member)
		}
	}
}

// ProbeFailed records that the member did not answer, which makes it a suspect.
func (t *Table) ProbeFailed(now time.Time, name string, incarnation uint64) {
	e, ok := t.entries[name]
	if ok && e.member.State == Alive && e.member.Incarnation == incarnation {
		t.set(now, e.member.WithState(Suspect))
	}
}

// Expire declares suspects dead that did not refute in time, and removes dead members after their retention.
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

// Resume restarts the timeout of every suspect after a pause of the own process, which could not receive refutations
// during the pause.
func (t *Table) Resume(now time.Time) {
	for name, e := range t.entries {
		if e.member.State == Suspect {
			t.entries[name] = entry{member: e.member, since: now}
		}
	}
}

func (t *Table) message() Message {
	times := gossipFactor * bits.Len(uint(len(t.entries)+1))
	return Message{Sender: t.self, Records: t.gossip.Take(maxRecords, times), Digest: t.digest()}
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

func (t *Table) allowFullSync(now time.Time, digest uint64) bool {
	if digest == t.digest() || now.Before(t.syncAfter) {
		return false
	}
	t.syncAfter = now.Add(t.options.SyncInterval)
	return true
}

func (t *Table) allRecords() []Member {
	members := slices.Collect(maps.Keys(t.entries))
	slices.Sort(members)
	records := make([]Member, 0, len(members))
	for _, name := range members {
		records = append(records, t.entries[name].member)
	}
	return records
}

func (t *Table) apply(now time.Time, message Message) {
	for _, r := range message.Records {
		t.applyRecord(now, r)
	}
	t.applySender(now, message.Sender)
}

// applyRecord applies an update about a member.
func (t *Table) applyRecord(now time.Time, m Member) {
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

// applySender applies what the sender of a message states about itself. Any other member at the sender's address has
// been replaced by it and is declared dead.
func (t *Table) applySender(now time.Time, m Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	t.applyRecord(now, m)
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

// refute answers a wrong record of the own member, or one from an earlier process of the same name, with a newer one.
func (t *Table) refute(m Member) {
	switch {
	case m.Incarnation < t.self.Incarnation:
		return
	case m.Incarnation > t.self.Incarnation:
		t.self.Incarnation = m.Incarnation + 1
		t.announceSelf(t.self, 0)
	case m.Heartbeat > t.self.Heartbeat || (m.Heartbeat == t.self.Heartbeat && m.State != Alive):
		t.announceSelf(t.self, m.Heartbeat)
	}
}

func (t *Table) announceSelf(self Member, above uint64) {
	t.self = self.WithHeartbeat(above + 1)
	t.gossip.Put(t.self.Name, t.self)
}

func (t *Table) set(now time.Time, m Member) {
	t.entries[m.Name] = entry{member: m, since: now}
	t.gossip.Put(m.Name, m)
	t.changes++
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }
