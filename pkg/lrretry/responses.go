package lrretry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// minSilence is the shortest silence after which a server can be suspected. It exceeds the pause that one prefill chunk causes.
	minSilence = 350 * time.Millisecond
	// silenceFactor multiplies the expected and usual times by which a server may be late.
	silenceFactor = 1.5
	// doubtAfter is the silence, or the time by which a first event is late, after which the other instances are asked for their last byte.
	// doubtTTL is how long a doubt lasts that no instance renews, renewDoubtAfter the time between two renewals.
	doubtAfter      = 150 * time.Millisecond
	doubtTTL        = 4 * time.Second
	renewDoubtAfter = 3 * time.Second
	// answerDelays is the time in which others contradict a doubt, in multiples of the delay of a report.
	answerDelays = 1.2
	// toldWithin is how long after the last response that another instance has told of this one relies on the others. Without it a suspicion
	// rests on comparisons with other servers.
	toldWithin = 2 * time.Second
	// contradictedBy is how long before a suspicion a byte from the server still contradicts it: another instance was answered while the
	// suspecting one was not.
	contradictedBy = minSilence / 2
	// answeringWithin is the time since the last byte of a server that counts as answering. It is below minSilence, so that servers that all
	// become slow at the same time are not compared with answers from before.
	answeringWithin = minSilence / 2
	// suspicionTTL is how long a suspicion holds that no instance confirms.
	suspicionTTL = 5 * time.Second
	// confirmAfter is the time between two confirmations of a suspicion.
	confirmAfter = 3 * time.Second
	// trialInterval is the time between two trials of a suspected server by all instances together. A request that must not be repeated
	// is a trial only when there has been none for trialIntervalOnce.
	trialInterval     = 500 * time.Millisecond
	trialIntervalOnce = 4 * trialInterval
	// pausedAfter is the time between two steps, or without any expected byte, after which this instance is taken to have been paused or
	// cut off.
	pausedAfter = 300 * time.Millisecond
	// giveUpRetryDelay is the time after which an attempt that could not be given up is proposed again.
	giveUpRetryDelay = 250 * time.Millisecond
	// forgetAfter is how long a server without attempts is remembered, maxServers how many servers reports of others may add.
	forgetAfter = 30 * time.Second
	maxServers  = 4096
	// expireInterval is the time between two searches for what is no longer used.
	expireInterval = time.Second
	// minWitnesses is the number of other servers that must have answered later requests, where there are as many.
	minWitnesses = 2
)

// A ResponseMonitor suspects servers that have stopped responding without closing their connections. It compares the time since the last
// byte of each server with the expected time and with the other servers of the service. A suspicion is shared with the other instances,
// and any byte from the server ends it. It is safe for use by several goroutines.
type ResponseMonitor struct {
	fleet   Fleet
	mutex   sync.Mutex
	random  *rand.Rand
	servers map[string]*serverResponses
	// names maps the key of each known start of a server to its name.
	names    map[uint32]string
	services map[string]*serviceResponses
	// countedFrom is the time before which silence is not counted, because this instance was paused or cut off.
	countedFrom time.Time
	lastByteAt  time.Time
	steppedAt   time.Time
	expiredAt   time.Time
	// toldAt is when another instance last told of a byte that this one does not know.
	toldAt time.Time
	// sentUpTo is the position in the updates from which the next message goes on.
	sentUpTo int
}

// Fleet describes the instances that share a ResponseMonitor's reports.
type Fleet struct {
	// Instances returns the number of instances, Reached that of those within reach, this one included.
	Instances func() int
	Reached   func() int
	// Delay returns how long a report takes from one instance to any other.
	Delay func() time.Duration
}

// Alone is the Fleet of one instance.
func Alone() Fleet {
	return Fleet{Instances: func() int { return 1 }, Reached: func() int { return 1 }, Delay: func() time.Duration { return 0 }}
}

// serverResponses is what is known of the responses of one server.
type serverResponses struct {
	service string
	// key is the key under which its responses are reported.
	key         uint32
	incarnation int64
	attempts    map[*MonitoredAttempt]struct{}
	// ownByteAt is when this instance last received a byte, and byteAt when any instance is known to have.
	ownByteAt time.Time
	byteAt    time.Time
	// suspectedAt is when an instance last found the server silent, trialAt when one last sent a trial.
	suspectedAt time.Time
	trialAt     time.Time
	// doubtedAt is when an instance last missed responses of the server, doubtedSince when the present doubt began. While it lasts, instances
	// tell one another when they last received a byte.
	doubtedAt    time.Time
	doubtedSince time.Time
	// nextTrial is when this instance may send its next trial.
	nextTrial time.Time
	// seenAt is when this instance last sent an attempt or saw a restart.
	seenAt time.Time
	// changedAt is when the state to be shared last changed, wasSuspected what the last step reported.
	changedAt    time.Time
	wasSuspected bool
}

// AttemptOptions describe an attempt to monitor.
type AttemptOptions struct {
	Server string
	// Incarnation tells the starts of the server apart.
	Incarnation int64
	Service     string
	Route       string
	// Urgency is the priority of the request. The lowest value is served first.
	Urgency int
	// Expected is the expected time to the first event.
	Expected time.Duration
	// GiveUp ends the attempt so that the request is sent to another server, and reports whether it did. It is nil when the request must
	// stay. It is called without locks, from the goroutine that calls Step.
	GiveUp func() bool
}

// A MonitoredAttempt is an attempt in progress.
type MonitoredAttempt struct {
	AttemptOptions
	monitor   *ResponseMonitor
	sentAt    time.Time
	byteAt    time.Time
	hasFirst  bool
	isTrial   bool
	isGivenUp bool
	// nextGiveUp is when GiveUp may be called again.
	nextGiveUp time.Time
}

// NewResponseMonitor returns a ResponseMonitor that suspects no server.
func NewResponseMonitor(fleet Fleet, seed uint64) *ResponseMonitor {
	return &ResponseMonitor{
		fleet: fleet, random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*serverResponses{}, services: map[string]*serviceResponses{},
		names: map[uint32]string{},
	}
}

// Sent records that an attempt is about to be sent. End must be called when it is over.
func (m *ResponseMonitor) Sent(now time.Time, options AttemptOptions) *MonitoredAttempt {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.serverOf(options.Server, options.Incarnation)
	s.service, s.seenAt = options.Service, now
	a := &MonitoredAttempt{AttemptOptions: options, monitor: m, sentAt: now, byteAt: now, isTrial: s.isSuspected(now)}
	s.attempts[a] = struct{}{}
	return a
}

// Received records that bytes have arrived from the server. With isFirstEvent, they complete the first event, or the answer of a request
// without events.
func (a *MonitoredAttempt) Received(now time.Time, isFirstEvent bool) {
	m := a.monitor
	m.mutex.Lock()
	defer m.mutex.Unlock()
	waitedFrom := a.byteAt
	if m.lastByteAt.After(waitedFrom) {
		waitedFrom = m.lastByteAt
	}
	if now.Sub(waitedFrom) > pausedAfter {
		m.countedFrom = now
	}
	m.lastByteAt = now
	s, ok := m.servers[a.Server]
	if ok && s.incarnation == a.Incarnation {
		s.ownByteAt, s.byteAt = now, now
	}
	service := m.serviceOf(a.Service)
	switch {
	case a.hasFirst:
		service.recordGap(now, now.Sub(later(a.byteAt, m.countedFrom)))
	case isFirstEvent:
		a.hasFirst = true
		service.recordAnswer(a.Route, answerSample{
			server: a.Server, sentAt: a.sentAt, at: now, urgency: a.Urgency, late: max(now.Sub(a.sentAt)-a.Expected, 0),
		})
	}
	a.byteAt = now
}

// End records that the attempt is over.
func (a *MonitoredAttempt) End() {
	a.monitor.mutex.Lock()
	defer a.monitor.mutex.Unlock()
	s, ok := a.monitor.servers[a.Server]
	if ok {
		delete(s.attempts, a)
	}
}

// isSuspected reports whether the server is suspected: some instance found it silent, and no byte has arrived since then or shortly before.
func (s *serverResponses) isSuspected(now time.Time) bool {
	return !s.suspectedAt.IsZero() && now.Sub(s.suspectedAt) < suspicionTTL && s.suspectedAt.After(s.byteAt.Add(contradictedBy))
}

// Suspected returns the suspected servers, ordered by name.
func (m *ResponseMonitor) Suspected(now time.Time) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var suspected []string
	for name, s := range m.servers {
		if s.isSuspected(now) {
			suspected = append(suspected, name)
		}
	}
	slices.Sort(suspected)
	return suspected
}

// AllowsTrial reports whether this instance may send the suspected server a request to learn whether it responds again.
func (m *ResponseMonitor) AllowsTrial(now time.Time, server string, isRepeatable bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s, ok := m.servers[server]
	return ok && s.allowsTrial(now, isRepeatable)
}

// TakeTrial is like AllowsTrial and takes the trial.
func (m *ResponseMonitor) TakeTrial(now time.Time, server string, isRepeatable bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s, ok := m.servers[server]
	if !ok || !s.allowsTrial(now, isRepeatable) {
		return false
	}
	s.trialAt, s.changedAt = now, now
	m.planTrial(now, s)
	return true
}

func (s *serverResponses) allowsTrial(now time.Time, isRepeatable bool) bool {
	interval := trialInterval
	if !isRepeatable {
		interval = trialIntervalOnce
	}
	if now.Before(s.nextTrial) || now.Sub(s.trialAt) < interval {
		return false
	}
	for a := range s.attempts {
		if a.isTrial {
			return false
		}
	}
	return true
}

// planTrial draws the time of the next trial of this instance, so that all instances together send about one in each trialInterval.
func (m *ResponseMonitor) planTrial(now time.Time, s *serverResponses) {
	wait := trialInterval * time.Duration(max(m.fleet.Instances(), 1))
	s.nextTrial = now.Add(time.Duration(m.random.Int64N(int64(wait))))
}

// Restarted records that the server has restarted or changed its weights, which ends a suspicion. Later reports on an earlier start are
// ignored.
func (m *ResponseMonitor) Restarted(now time.Time, server string, incarnation int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.serverOf(server, incarnation)
	s.suspectedAt, s.seenAt = time.Time{}, now
}

// serverOf returns the state of this start of the server.
func (m *ResponseMonitor) serverOf(server string, incarnation int64) *serverResponses {
	s, ok := m.servers[server]
	if !ok || s.incarnation != incarnation {
		if ok {
			delete(m.names, s.key)
		}
		s = &serverResponses{key: responseKey(server, incarnation), incarnation: incarnation, attempts: map[*MonitoredAttempt]struct{}{}}
		m.servers[server], m.names[s.key] = s, server
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
