package lrretry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	loadStep     = 5 * time.Millisecond
	loadPrefill  = 66.2
	tokenPeriod  = 10 * time.Millisecond
	fleetEngines = 30
	fleetSize    = 24
)

// queuedJob is a request at a loadedEngine. It has work left before its first event, then tokens.
type queuedJob struct {
	*lrretry.MonitoredAttempt
	work     float64
	tokens   int
	next     time.Time
	deadline time.Time
	isOver   bool
}

// loadedEngine prefills the most urgent request first and decodes the others meanwhile. While it is silent it does neither.
type loadedEngine struct {
	waiting, running []*queuedJob
	isSilent         bool
	// queued are the waiting tokens of the last steps, since instances know them late.
	queued []float64
}

func (e *loadedEngine) advance(now time.Time) {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *queuedJob) bool {
		if j.isOver || now.After(j.deadline) {
			j.End()
			return true
		}
		return false
	})
	total := 0.0
	for _, j := range e.waiting {
		total += j.work
	}
	e.queued = append(e.queued, total)
	if e.isSilent {
		return
	}
	for budget := loadPrefill * 5; budget > 0 && len(e.waiting) > 0; {
		j := slices.MinFunc(e.waiting, func(a, b *queuedJob) int { return a.Urgency - b.Urgency })
		done := min(budget, j.work)
		j.work, budget = j.work-done, budget-done
		if j.work <= 0 {
			j.Received(now, true)
			j.next = now.Add(tokenPeriod)
			e.running = append(e.running, j)
			e.waiting = slices.DeleteFunc(e.waiting, func(other *queuedJob) bool { return other == j })
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *queuedJob) bool {
		if now.Before(j.next) {
			return false
		}
		j.Received(now, true)
		j.tokens--
		j.next = now.Add(tokenPeriod)
		if j.tokens == 0 {
			j.End()
		}
		return j.tokens == 0
	})
}

// loadedFleet sends long and short requests at a multiple of what the engines can compute. The instances report to one relay.
type loadedFleet struct {
	now      time.Time
	random   *rand.Rand
	monitors []*lrretry.ResponseMonitor
	relay    *lrretry.ResponseMonitor
	engines  []*loadedEngine
	perStep  float64
	due      float64
	step     int
	givenUp  int
	// wrong and right are the time for which engines were suspected, in seconds of one engine at one instance.
	wrong, right float64
}

func newLoadedFleet(load float64) *loadedFleet {
	count := func() int { return fleetSize }
	fleet := lrretry.Fleet{Instances: count, Reached: count, Delay: func() time.Duration { return 400 * time.Millisecond }}
	f := &loadedFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)), relay: lrretry.NewResponseMonitor(fleet, 99),
		perStep: load * fleetEngines * loadPrefill * 5 / 5870,
	}
	for n := range fleetSize {
		f.monitors = append(f.monitors, lrretry.NewResponseMonitor(fleet, uint64(n)))
	}
	for range fleetEngines {
		f.engines = append(f.engines, &loadedEngine{queued: make([]float64, 80)})
	}
	return f
}

// send sends one request to the best of six engines, as far as its instance knows.
func (f *loadedFleet) send() {
	j := &queuedJob{work: 1800, tokens: 4, deadline: f.now.Add(3 * time.Second)}
	options := lrretry.AttemptOptions{Service: testService, Route: "short"}
	if f.random.IntN(2) == 0 {
		j.work, j.tokens, j.deadline = 6600, 60, f.now.Add(15*time.Second)
		if f.random.IntN(10) == 0 {
			j.work = 40_000
		}
		options.Route, options.Urgency = "long", 2
		options.GiveUp = func() bool { j.isOver = true; f.givenUp++; return true }
	}
	m := f.monitors[f.random.IntN(fleetSize)]
	suspected := m.Suspected(f.now)
	best, known := f.random.IntN(fleetEngines), 1e12
	for range 6 {
		n := f.random.IntN(fleetEngines)
		queued := f.engines[n].queued
		if old := queued[len(queued)-80]; old < known && !slices.Contains(suspected, serverName(n)) {
			best, known = n, old
		}
	}
	options.Server, options.Expected = serverName(best), time.Duration((known+j.work)/loadPrefill*float64(time.Millisecond))
	j.MonitoredAttempt = m.Sent(f.now, options)
	f.engines[best].waiting = append(f.engines[best].waiting, j)
}

func (f *loadedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(loadStep) {
		f.step++
		for f.due += f.perStep; f.due >= 1; f.due-- {
			f.send()
		}
		for _, e := range f.engines {
			e.advance(f.now)
		}
		// Each instance exchanges reports with the relay every 0.18 s.
		if n := f.step % 36; n < fleetSize {
			f.relay.Merge(f.now, f.monitors[n].Report(f.now))
			f.monitors[n].Merge(f.now, f.relay.Report(f.now))
		}
		if f.step%8 == 0 {
			f.judge()
		}
	}
}

func (f *loadedFleet) judge() {
	for _, m := range f.monitors {
		m.Step(f.now)
		for _, id := range m.Suspected(f.now) {
			var n int
			_, _ = fmt.Sscanf(id, "e%d", &n)
			if f.engines[n].isSilent {
				f.right += 8 * loadStep.Seconds() / fleetSize
			} else {
				f.wrong += 8 * loadStep.Seconds() / fleetSize
			}
		}
	}
}

// TestOverloadedFleetSuspectsOnlySilentServers guards against a silent quarter of the engines that goes unnoticed under overload, when an
// instance rarely hears of any engine, and against suspicions of engines that are merely busy. Requests for 40,000 tokens of which no other
// instance knows hold up the queues.
func TestOverloadedFleetSuspectsOnlySilentServers(t *testing.T) {
	for _, load := range []float64{0.5, 0.9, 1.3, 2} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			f := newLoadedFleet(load)
			f.run(4 * time.Second)
			wrong, givenUp := f.wrong, f.givenUp
			for n := range fleetEngines / 4 {
				f.engines[n].isSilent = true
			}
			f.run(1400 * time.Millisecond)
			f.right = 0
			f.run(2 * time.Second)
			t.Logf("in 4 s, %.2f of %d engine-seconds wrongly suspected, %d given up; 1.4 s after a quarter has fallen silent, suspected %.2f of the time",
				wrong, 4*fleetEngines, givenUp, f.right/(2*(fleetEngines/4)))
			requireEqual(t, wrong < 0.02*4*fleetEngines, true, "busy engines are not suspected")
			requireEqual(t, f.right > 0.9*2*(fleetEngines/4), true, "silent engines are suspected")
		})
	}
}
