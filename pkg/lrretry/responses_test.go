package lrretry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	responseStep = 20 * time.Millisecond
	usualWait    = 120 * time.Millisecond
	usualStream  = 400 * time.Millisecond
	testService  = "s"
)

// responseLoad sends one request to each of some servers in turn. Each server answers with a first event and then one event in each step.
type responseLoad struct {
	monitor *lrretry.ResponseMonitor
	now     time.Time
	servers int
	next    int
	// sendEvery is the time between two requests of this instance, stream how long the events of one take.
	sendEvery time.Duration
	stream    time.Duration
	attempts  []*loadAttempt
	// firstAfter returns the time after which the server sends the first event, isSilent whether it sends nothing now.
	firstAfter func(server string) time.Duration
	isSilent   func(server string) bool
	expected   time.Duration
	giveUp     func() bool
	// isPaused stops this instance: neither events are read nor steps made.
	isPaused func() bool
	changes  []lrretry.SuspicionChange
}

type loadAttempt struct {
	*lrretry.MonitoredAttempt
	sentAt time.Time
}

func newResponseLoad(servers int) *responseLoad {
	return &responseLoad{
		monitor: lrretry.NewResponseMonitor(lrretry.Alone(), 1), now: time.Unix(1000, 0), servers: servers, expected: usualWait,
		sendEvery: responseStep, stream: usualStream,
		firstAfter: func(string) time.Duration { return usualWait }, isSilent: func(string) bool { return false }, isPaused: func() bool { return false },
	}
}

func (l *responseLoad) send(server string) {
	a := l.monitor.Sent(l.now, lrretry.AttemptOptions{
		Server: server, Service: testService, Route: "r", Urgency: 1, Expected: l.expected, GiveUp: l.giveUp,
	})
	l.attempts = append(l.attempts, &loadAttempt{MonitoredAttempt: a, sentAt: l.now})
}

func (l *responseLoad) run(duration time.Duration) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(responseStep) {
		if l.isPaused() {
			continue
		}
		if l.now.UnixMilli()%l.sendEvery.Milliseconds() == 0 {
			l.send(serverName(l.next * 7 % l.servers))
			l.next++
		}
		l.attempts = slices.DeleteFunc(l.attempts, l.advance)
		l.changes = append(l.changes, l.monitor.Step(l.now)...)
	}
}

// advance delivers what the server sends now, and reports whether the attempt is over.
func (l *responseLoad) advance(a *loadAttempt) bool {
	age, first := l.now.Sub(a.sentAt), l.firstAfter(a.Server)
	if l.isSilent(a.Server) || age < first {
		return false
	}
	a.Received(l.now, true)
	if age > first+l.stream {
		a.End()
		return true
	}
	return false
}

// fleetOf returns a fleet of which all instances are within reach.
func fleetOf(instances int) lrretry.Fleet {
	count := func() int { return instances }
	return lrretry.Fleet{Instances: count, Reached: count, Delay: func() time.Duration { return 300 * time.Millisecond }}
}

func serverName(n int) string { return fmt.Sprint("e", n) }

func isOneOf(names ...string) func(string) bool {
	return func(server string) bool { return slices.Contains(names, server) }
}

func requireSuspected(t *testing.T, m *lrretry.ResponseMonitor, now time.Time, want ...string) {
	t.Helper()
	got := m.Suspected(now)
	if !slices.Equal(got, want) {
		t.Fatalf("suspected are %v, want %v", got, want)
	}
}

// TestSilentQuarterIsSuspected guards against requests that go on being sent to the quarter of the engines that has stopped responding on
// the heaviest day of S.
func TestSilentQuarterIsSuspected(t *testing.T) {
	l := newResponseLoad(12)
	l.run(3 * time.Second)
	requireSuspected(t, l.monitor, l.now)
	l.isSilent = isOneOf("e2", "e5", "e9")
	l.run(1200 * time.Millisecond)
	requireSuspected(t, l.monitor, l.now, "e2", "e5", "e9")
	l.isSilent = isOneOf()
	l.run(100 * time.Millisecond)
	requireSuspected(t, l.monitor, l.now)
}

// TestSlowOrPausedIsNotSuspected guards against suspicions that take capacity away under overload, after a pause of the instance or a cut of
// its network, or during one long prefill.
func TestSlowOrPausedIsNotSuspected(t *testing.T) {
	cases := []struct {
		name  string
		apply func(l *responseLoad)
	}{
		{"overload, all queues grow to three seconds", func(l *responseLoad) {
			began := l.now
			l.firstAfter = func(string) time.Duration { return min(usualWait+l.now.Sub(began)/2, 3*time.Second) }
		}},
		{"overload, few requests of few tokens", func(l *responseLoad) {
			began := l.now
			l.sendEvery, l.stream = 5*responseStep, responseStep
			l.firstAfter = func(server string) time.Duration {
				return min(usualWait+l.now.Sub(began), 2*time.Second+time.Duration(server[1]%4)*300*time.Millisecond)
			}
		}},
		{"sudden overload, few requests of few tokens", func(l *responseLoad) {
			l.sendEvery, l.stream = 3*responseStep, responseStep
			l.firstAfter = func(server string) time.Duration {
				return 2*time.Second + time.Duration(server[1]%4)*300*time.Millisecond
			}
		}},
		{"overload, engines differ by a factor of two", func(l *responseLoad) {
			began := l.now
			l.firstAfter = func(server string) time.Duration {
				return min(usualWait+l.now.Sub(began)/2, 2*time.Second) / time.Duration(1+len(server)%2)
			}
		}},
		{"an engine that is 2.5 times slower", func(l *responseLoad) {
			l.firstAfter = func(server string) time.Duration {
				if server == "e3" {
					return usualWait * 5 / 2
				}
				return usualWait
			}
		}},
		{"the instance is paused for two seconds", func(l *responseLoad) {
			until := l.now.Add(2 * time.Second)
			l.isPaused = func() bool { return l.now.Before(until) }
		}},
		{"the instance is paused and then reads the answers of some engines first", func(l *responseLoad) {
			until := l.now.Add(2 * time.Second)
			l.isPaused = func() bool { return l.now.Before(until) }
			l.isSilent = func(server string) bool { return server == "e7" && l.now.Before(until.Add(300*time.Millisecond)) }
		}},
		{"the instance is cut off for two seconds", func(l *responseLoad) {
			until := l.now.Add(2 * time.Second)
			l.isSilent = func(string) bool { return l.now.Before(until) }
		}},
		{"one long prefill", func(l *responseLoad) {
			l.expected = 1500 * time.Millisecond
			l.send("long")
			l.expected = usualWait
			began := l.now
			l.isSilent = func(server string) bool { return server == "long" && l.now.Sub(began) < 2*time.Second }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newResponseLoad(12)
			l.run(3 * time.Second)
			c.apply(l)
			l.run(6 * time.Second)
			requireEqual(t, len(l.changes), 0, fmt.Sprint("changes ", l.changes))
		})
		t.Run(c.name+", others within reach", func(t *testing.T) {
			l := newResponseLoad(12)
			l.monitor = lrretry.NewResponseMonitor(fleetOf(3), 1)
			l.run(3 * time.Second)
			c.apply(l)
			l.run(6 * time.Second)
			requireEqual(t, len(l.changes), 0, fmt.Sprint("changes ", l.changes))
		})
	}
}

// TestSuspicionIsSharedAndTakenBack guards against instances that learn of a silent server only from their own lost requests, and against
// a wrong suspicion of one instance that keeps the others away.
func TestSuspicionIsSharedAndTakenBack(t *testing.T) {
	l := newResponseLoad(12)
	l.run(3 * time.Second)
	l.isSilent = isOneOf("e2")
	l.run(1200 * time.Millisecond)
	t.Run("an instance without requests there takes it over, and tells others", func(t *testing.T) {
		other, third := lrretry.NewResponseMonitor(lrretry.Alone(), 2), lrretry.NewResponseMonitor(lrretry.Alone(), 3)
		other.Merge(l.now, l.monitor.Report(l.now))
		requireSuspected(t, other, l.now, "e2")
		third.Merge(l.now, other.Report(l.now))
		requireSuspected(t, third, l.now, "e2")
		requireSuspected(t, third, l.now.Add(6*time.Second))
	})
	t.Run("an instance that was just answered contradicts it", func(t *testing.T) {
		other := lrretry.NewResponseMonitor(lrretry.Alone(), 2)
		a := other.Sent(l.now, lrretry.AttemptOptions{Server: "e2", Service: testService})
		a.Received(l.now, true)
		other.Merge(l.now, l.monitor.Report(l.now))
		requireSuspected(t, other, l.now)
		l.monitor.Merge(l.now, other.Report(l.now))
		requireSuspected(t, l.monitor, l.now)
	})
	t.Run("another start of the server is not suspected", func(t *testing.T) {
		other := lrretry.NewResponseMonitor(lrretry.Alone(), 2)
		other.Restarted(l.now, "e2", 7)
		other.Merge(l.now, l.monitor.Report(l.now))
		requireSuspected(t, other, l.now)
	})
}

// TestFewTrialsOverAllInstances guards against 66 and 420 instances that each send a request to a server that does not respond.
func TestFewTrialsOverAllInstances(t *testing.T) {
	for _, instances := range []int{3, 66, 420} {
		now := time.Unix(1000, 0)
		monitors := make([]*lrretry.ResponseMonitor, instances)
		for n := range monitors {
			monitors[n] = lrretry.NewResponseMonitor(fleetOf(instances), uint64(n))
		}
		trials := 0
		for step := range 200 {
			at := now.Add(time.Duration(step) * responseStep)
			for _, m := range monitors {
				m.Merge(at, lrretry.Report{Suspicions: []lrretry.SuspicionUpdate{{Server: "e1", SuspectedAge: 0, DoubtAge: -1, TrialAge: -1}}})
				if m.TakeTrial(at, "e1", true) {
					trials++
				}
			}
		}
		// Four seconds hold eight intervals, and the instances here do not tell one another of their trials.
		requireEqual(t, trials >= 1 && trials <= 20, true, fmt.Sprint(instances, " instances make few trials: ", trials))
	}
}

// TestWaitingAttemptIsGivenUp guards against requests that wait at a silent engine until their deadline, and against more than one retry for
// one attempt.
func TestWaitingAttemptIsGivenUp(t *testing.T) {
	l := newResponseLoad(12)
	l.run(3 * time.Second)
	asked, isGranted := 0, false
	l.isSilent = isOneOf("e2")
	l.giveUp = func() bool { asked++; return isGranted }
	l.send("e2")
	l.giveUp = nil
	l.run(1200 * time.Millisecond)
	requireEqual(t, asked > 0 && asked <= 5, true, fmt.Sprint("asked without budget: ", asked))
	asked, isGranted = 0, true
	l.run(1200 * time.Millisecond)
	requireEqual(t, asked, 1, "given up once")
}
