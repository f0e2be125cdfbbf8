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
	m.mutex.Lock()
	if m.steppedAt.IsZero() || now.Sub(m.steppedAt) > pausedAfter {
		m.countedFrom = now
	}
	m.steppedAt = now
	m.findSilent(now)
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

// findSilent suspects silent servers. Nothing is suspected in a service of which more servers are silent than answer.
func (m *ResponseMonitor) findSilent(now time.Time) {
	answering, silent := map[string]int{}, map[string]int{}
	quiet := map[string]*serverResponses{}
	for name, s := range m.servers {
		switch {
		case now.Sub(s.ownByteAt) < answeringWithin:
			answering[s.service]++
		case len(s.attempts) > 0 && now.Sub(s.byteAt) >= minSilence && m.silence(now, s) >= minSilence:
			quiet[name] = s
			if !s.isSuspected(now) {
				silent[s.service]++
			}
		}
	}
	for name, s := range quiet {
		if answering[s.service] == 0 || answering[s.service] < silent[s.service] {
			continue
		}
		if s.isSuspected(now) && now.Sub(s.suspectedAt) < confirmAfter {
			continue
		}
		if m.isSilent(now, name, s) {
			m.suspect(now, now, s)
		}
	}
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

// isSilent reports whether one of the attempts is overdue compared with its expectation and with the other servers.
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
		}
	}
	for name, s := range m.services {
		if s.expire(now) {
			delete(m.services, name)
		}
	}
}
