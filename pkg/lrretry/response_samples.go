package lrretry

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of recent answers of a route that are kept, for samplesTTL.
	maxSamples = 32
	samplesTTL = 30 * time.Second
	// minSamples is the number of answers without which the usual lateness of a route is unknown.
	minSamples = 4
	// latenessQuantile is the part of the answers that come within the usual lateness.
	latenessQuantile = 0.9
	// gapWindow is the time for which the longest pause of streams is kept. maxGap bounds the influence of one pause.
	gapWindow = 2 * time.Second
	maxGap    = time.Second
)

// serviceResponses are recent answers of all servers of a service.
type serviceResponses struct {
	routes map[string]*routeAnswers
	// gap is the longest pause between two events in the window that began at gapFrom, gapBefore that of the window before.
	gap, gapBefore time.Duration
	gapFrom        time.Time
}

// routeAnswers holds the last answers of one route, in a ring in which next is the position of the oldest.
type routeAnswers struct {
	samples []answerSample
	next    int
}

// answerSample is the first event of one attempt. late is the time by which it came later than expected.
type answerSample struct {
	server  string
	sentAt  time.Time
	at      time.Time
	urgency int
	late    time.Duration
}

func (m *ResponseMonitor) serviceOf(name string) *serviceResponses {
	s, ok := m.services[name]
	if !ok {
		s = &serviceResponses{routes: map[string]*routeAnswers{}}
		m.services[name] = s
	}
	return s
}

func (s *serviceResponses) recordAnswer(route string, sample answerSample) {
	answers, ok := s.routes[route]
	if !ok {
		answers = &routeAnswers{}
		s.routes[route] = answers
	}
	if len(answers.samples) < maxSamples {
		answers.samples = append(answers.samples, sample)
		return
	}
	answers.samples[answers.next] = sample
	answers.next = (answers.next + 1) % maxSamples
}

// usualLateness returns the time by which nearly all recent answers of the route came at most later than expected.
func (s *serviceResponses) usualLateness(now time.Time, route string) (time.Duration, bool) {
	answers, ok := s.routes[route]
	if !ok {
		return 0, false
	}
	late := make([]time.Duration, 0, maxSamples)
	for _, sample := range answers.samples {
		if now.Sub(sample.at) < samplesTTL {
			late = append(late, sample.late)
		}
	}
	if len(late) < minSamples {
		return 0, false
	}
	slices.Sort(late)
	return late[int(latenessQuantile*float64(len(late)-1))], true
}

// witnesses returns the number of other servers that have answered requests which were sent later than the attempt and are not more urgent,
// and the time by which the latest of these answers was late. Urgent requests are answered before others on an overloaded server, so that
// they say nothing about the attempt.
func (s *serviceResponses) witnesses(a *MonitoredAttempt) (count int, latest time.Duration) {
	var servers []string
	for _, answers := range s.routes {
		for _, sample := range answers.samples {
			if sample.server == a.Server || !sample.sentAt.After(a.sentAt) || sample.urgency < a.Urgency {
				continue
			}
			latest = max(latest, sample.late)
			if !slices.Contains(servers, sample.server) {
				servers = append(servers, sample.server)
			}
		}
	}
	return len(servers), latest
}

func (s *serviceResponses) recordGap(now time.Time, gap time.Duration) {
	s.turnGapWindow(now)
	s.gap = max(s.gap, min(gap, maxGap))
}

// longestGap returns the longest recent pause between two events of a stream.
func (s *serviceResponses) longestGap(now time.Time) time.Duration {
	s.turnGapWindow(now)
	return max(s.gap, s.gapBefore)
}

func (s *serviceResponses) turnGapWindow(now time.Time) {
	switch age := now.Sub(s.gapFrom); {
	case age >= 2*gapWindow:
		s.gap, s.gapBefore, s.gapFrom = 0, 0, now
	case age >= gapWindow:
		s.gap, s.gapBefore, s.gapFrom = 0, s.gap, now
	}
}

// expire drops the answers of routes that had none lately, and reports whether nothing is left.
func (s *serviceResponses) expire(now time.Time) bool {
	for route, answers := range s.routes {
		isStale := func(sample answerSample) bool { return now.Sub(sample.at) >= samplesTTL }
		if !slices.ContainsFunc(answers.samples, func(sample answerSample) bool { return !isStale(sample) }) {
			delete(s.routes, route)
		}
	}
	return len(s.routes) == 0 && now.Sub(s.gapFrom) > 2*gapWindow
}
