package lrretry

import "time"

// A SuspicionChange is a server that has become suspected, or is no longer.
type SuspicionChange struct {
	Server      string
	IsSuspected bool
	// Silence is the time since the last byte from the server, or since its oldest attempt.
	Silence time.Duration
	// Attempts is the number of attempts of this instance at the server.
	Attempts int
}

// Step looks for silent servers, gives up attempts at suspected ones, and returns what has changed since the last step.
func (m *ResponseMonitor) Step(now time.Time) []SuspicionChange {
	// The functions of the fleet take other locks, for which received bytes must not wait.
	reached, delay := m.fleet.Reached(), m.fleet.Delay()
	m.mutex.Lock()
	if m.steppedAt.IsZero() || now.Sub(m.steppedAt) > pausedAfter {
		m.countedFrom = now
	}
	m.steppedAt = now
	m.findSilent(now, m.rules(now, reached, delay))
	changes, proposals := m.review(now)
	if now.Sub(m.expiredAt) >= expireInterval {
		m.expiredAt = now
		m.expire(now)
	}
	m.mutex.Unlock()
	for _, a := range proposals {
		isGivenUp := a.GiveUp()
		m.mutex.Lock()
		a.isGivenUp = isGivenUp
		m.mutex.Unlock()
	}
	return changes
}

// silenceRules say from when on a server counts as silent or answering.
type silenceRules struct {
	// isAlone is set when no other instance tells when it last received a byte.
	isAlone bool
	// answerTime is the time in which others contradict a doubt.
	answerTime      time.Duration
	silentAfter     time.Duration
	answeringWithin time.Duration
}

func (m *ResponseMonitor) rules(now time.Time, reached int, delay time.Duration) silenceRules {
	if reached <= 1 || now.Sub(m.toldAt) > toldWithin {
		return silenceRules{isAlone: true, silentAfter: minSilence, answeringWithin: answeringWithin}
	}
	answerTime := time.Duration(answerDelays * float64(delay))
	return silenceRules{answerTime: answerTime, silentAfter: minSilence + answerTime, answeringWithin: minSilence + answerTime}
}

// isAnswering reports whether a byte from the server is known that is recent enough.
func (r silenceRules) isAnswering(now time.Time, s *serverResponses) bool {
	if r.isAlone {
		return now.Sub(s.ownByteAt) < r.answeringWithin
	}
	return now.Sub(s.byteAt) < r.answeringWithin
}

// findSilent doubts and suspects silent servers. Nothing is suspected in a service of which more servers are silent than answer.
func (m *ResponseMonitor) findSilent(now time.Time, rules silenceRules) {
	quiet, margins := m.quietServers(now, rules)
	for name, s := range quiet {
		margin, isAnswered := margins[s.service]
		if !isAnswered || margin < 0 || s.isSuspected(now) && now.Sub(s.suspectedAt) < confirmAfter {
			continue
		}
		if m.isUnresponsive(now, name, s, rules) {
			m.suspect(now, now, s)
		}
	}
}

// quietServers doubts servers and returns those that are silent, and for each service with answering servers by how many these exceed the
// silent ones that are not suspected yet.
func (m *ResponseMonitor) quietServers(now time.Time, rules silenceRules) (quiet map[string]*serverResponses, margins map[string]int) {
	quiet, margins = map[string]*serverResponses{}, map[string]int{}
	silent := map[string]int{}
	for name, s := range m.servers {
		if rules.isAnswering(now, s) {
			margins[s.service]++
		}
		if len(s.attempts) == 0 || now.Sub(s.byteAt) < doubtAfter || m.silence(now, s) < doubtAfter {
			continue
		}
		m.doubt(now, s)
		if m.silence(now, s) < rules.silentAfter {
			continue
		}
		quiet[name] = s
		if !s.isSuspected(now) {
			silent[s.service]++
		}
	}
	for service, count := range silent {
		if _, ok := margins[service]; ok {
			margins[service] -= count
		}
	}
	return quiet, margins
}

// isUnresponsive reports whether the silence of the server is more than what is expected of it.
func (m *ResponseMonitor) isUnresponsive(now time.Time, name string, s *serverResponses, rules silenceRules) bool {
	if rules.isAlone {
		return m.isSilent(now, name, s)
	}
	return now.Sub(s.doubtedSince) >= rules.answerTime && m.isOverdue(now, s, rules.silentAfter)
}

// doubt records that an attempt at the server is late, so that the other instances tell when they last received a byte from it.
func (m *ResponseMonitor) doubt(now time.Time, s *serverResponses) {
	if now.Sub(s.doubtedAt) < renewDoubtAfter && !s.doubtedAt.IsZero() || !m.isOverdue(now, s, doubtAfter) {
		return
	}
	s.recordDoubt(now, now)
}

func (s *serverResponses) recordDoubt(now, at time.Time) {
	if at.Sub(s.doubtedAt) < minAdvance {
		return
	}
	if at.Sub(s.doubtedAt) > doubtTTL {
		s.doubtedSince = at
	}
	s.doubtedAt, s.changedAt = at, now
}

// isOverdue reports whether one of the attempts has had no byte for the given time beyond what is expected.
func (m *ResponseMonitor) isOverdue(now time.Time, s *serverResponses, by time.Duration) bool {
	for a := range s.attempts {
		allowed := by
		if !a.hasFirst {
			allowed += a.Expected
		}
		if now.Sub(later(a.byteAt, m.countedFrom)) > allowed {
			return true
		}
	}
	return false
}

// silence returns the time since the last byte that any instance received from the server, or since the oldest attempt of this instance.
func (m *ResponseMonitor) silence(now time.Time, s *serverResponses) time.Duration {
	oldest := now
	for a := range s.attempts {
		if a.sentAt.Before(oldest) {
			oldest = a.sentAt
		}
	}
	return now.Sub(later(later(oldest, s.byteAt), m.countedFrom))
}

// isSilent reports whether one of the attempts is overdue compared with its expectation and with the other servers. It needs no other instance.
func (m *ResponseMonitor) isSilent(now time.Time, name string, s *serverResponses) bool {
	service := m.serviceOf(s.service)
	needed := min(minWitnesses, m.otherServers(now, name, s.service))
	if needed == 0 {
		return false
	}
	for a := range s.attempts {
		if a.hasFirst {
			allowed := minSilence + scaled(service.longestGap(now))
			if now.Sub(later(a.byteAt, m.countedFrom)) > allowed && m.answering(now, name, s.service) >= needed {
				return true
			}
			continue
		}
		late, ok := service.usualLateness(now, a.Route)
		witnesses, latest := service.witnesses(a)
		if !ok || witnesses < needed {
			continue
		}
		if now.Sub(later(a.sentAt, m.countedFrom)) > minSilence+scaled(a.Expected+max(late, latest)) {
			return true
		}
	}
	return false
}

func scaled(d time.Duration) time.Duration { return time.Duration(silenceFactor * float64(d)) }

// otherServers returns the number of other servers of the service that are known and not suspected.
func (m *ResponseMonitor) otherServers(now time.Time, name, service string) int {
	others := 0
	for other, s := range m.servers {
		if other != name && s.service == service && !s.isSuspected(now) {
			others++
		}
	}
	return others
}

// answering returns the number of other servers of the service from which a byte has just arrived.
func (m *ResponseMonitor) answering(now time.Time, name, service string) int {
	count := 0
	for other, s := range m.servers {
		if other != name && s.service == service && now.Sub(s.ownByteAt) < answeringWithin {
			count++
		}
	}
	return count
}

// suspect records that an instance found the server silent at the given time.
func (m *ResponseMonitor) suspect(now, at time.Time, s *serverResponses) {
	if !at.After(s.suspectedAt) {
		return
	}
	if !s.isSuspected(now) {
		m.planTrial(now, s)
		s.trialAt = later(s.trialAt, at)
	}
	s.suspectedAt, s.changedAt = at, now
}

// review returns the servers whose suspicion has changed since the last call, and the attempts at suspected servers that wait for a first
// event for too long and can be given up.
func (m *ResponseMonitor) review(now time.Time) (changes []SuspicionChange, proposals []*MonitoredAttempt) {
	for name, s := range m.servers {
		if s.suspectedAt.IsZero() && !s.wasSuspected {
			continue
		}
		isSuspected := s.isSuspected(now)
		if isSuspected != s.wasSuspected {
			s.wasSuspected = isSuspected
			changes = append(changes, SuspicionChange{Server: name, IsSuspected: isSuspected, Silence: m.silence(now, s), Attempts: len(s.attempts)})
		}
		if isSuspected {
			proposals = append(proposals, m.proposals(now, s)...)
		}
	}
	return changes, proposals
}

// proposals returns the attempts at the suspected server that can be given up.
func (m *ResponseMonitor) proposals(now time.Time, s *serverResponses) []*MonitoredAttempt {
	var proposals []*MonitoredAttempt
	for a := range s.attempts {
		if a.hasFirst || a.isGivenUp || a.GiveUp == nil || now.Before(a.nextGiveUp) {
			continue
		}
		if now.Sub(later(a.sentAt, m.countedFrom)) >= minSilence+a.Expected {
			a.nextGiveUp = now.Add(giveUpRetryDelay)
			proposals = append(proposals, a)
		}
	}
	return proposals
}

// expire drops servers and samples that are no longer used.
func (m *ResponseMonitor) expire(now time.Time) {
	for name, s := range m.servers {
		if len(s.attempts) == 0 && now.Sub(later(s.seenAt, later(s.byteAt, s.suspectedAt))) > forgetAfter {
			delete(m.servers, name)
			delete(m.names, s.key)
		}
	}
	for name, s := range m.services {
		if s.expire(now) {
			delete(m.services, name)
		}
	}
}
