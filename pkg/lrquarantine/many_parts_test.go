package lrquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

const (
	// tick is the time between two sound requests of the fleet, and deadlyTicks the number of them between two deadly requests.
	tick        = 90 * time.Millisecond
	deadlyTicks = 9
	// runTicks is how many ticks a request runs. A server on which a deadly request runs crashes when that begins its answer.
	runTicks = 5
	// fleetServers is the number of servers, and files that of the documents of which each prompt contains one.
	fleetServers = 4
	files        = 40
	// learnTicks and playTicks are the lengths of the play before and after the first deadly request.
	learnTicks = 110
	playTicks  = 300
	// maxCrashes is the number of crashes after which at most maxLate deadly requests may reach a server, counted from stableWindow on.
	maxCrashes   = 5
	maxLate      = 3
	stableWindow = 3 * time.Second
)

// promptFleet is a set of instances that send requests with long prompts to servers. A server crashes on each request with the deadly part.
type promptFleet struct {
	instances []*instance
	random    *rand.Rand
	running   map[string][]runningRequest
	parts     int
	position  int
	next      int
	crashes   int
	crashedAt time.Time
	late      int
	sound     int
	rejected  int
}

type runningRequest struct {
	instance *instance
	request  lrquarantine.Request
	isDeadly bool
	endsAt   int
}

func newPromptFleet(parts, position int) *promptFleet {
	f := &promptFleet{random: rand.New(rand.NewPCG(1, uint64(parts))), running: map[string][]runningRequest{}, parts: parts, position: position}
	for n := range 3 {
		f.instances = append(f.instances, &instance{
			Tracker: lrquarantine.NewTracker(time.Unix(1000, 0), lrquarantine.DefaultTrackerOptions(fmt.Sprint("i", n))), now: time.Unix(1000, 0),
		})
	}
	return f
}

// prompt returns the shared parts of a prompt: the first half is common to all, the rest belongs to a document.
func (f *promptFleet) prompt(isDeadly bool) []string {
	parts := make([]string, 0, f.parts)
	file := f.random.IntN(files)
	for n := range f.parts {
		if n < f.parts/2 {
			parts = append(parts, fmt.Sprint("rule ", n))
			continue
		}
		parts = append(parts, fmt.Sprint("file ", file, " ", n))
	}
	if isDeadly {
		parts[f.position] = "deadly"
	}
	return parts
}

// send sends one request at the time of the tick, unless it is rejected or delayed.
func (f *promptFleet) send(now int, isDeadly bool) {
	i := f.instances[f.next%len(f.instances)]
	f.next++
	request := lrquarantine.NewRequest(fmt.Sprint("request ", f.next), f.prompt(isDeadly)...)
	isAdmitted := i.Check(i.now, request).Admission == lrquarantine.Admitted && i.Begin(i.now, request).Admission == lrquarantine.Admitted
	if !isDeadly && f.crashes > 0 {
		f.sound++
	}
	if !isAdmitted {
		if !isDeadly {
			f.rejected++
		}
		return
	}
	if isDeadly && f.crashes >= maxCrashes && i.now.Sub(f.crashedAt) > stableWindow {
		f.late++
	}
	server := fmt.Sprint("server ", f.random.IntN(fleetServers), " start ", f.crashes)
	f.running[server] = append(f.running[server], runningRequest{instance: i, request: request, isDeadly: isDeadly, endsAt: now + runTicks})
}

// end ends the requests that are due: each server with a deadly one among them crashes, the others complete them.
func (f *promptFleet) end(now int) {
	for server, running := range f.running {
		var remaining []runningRequest
		isCrashed := false
		for _, r := range running {
			isCrashed = isCrashed || r.isDeadly && r.endsAt <= now
		}
		for _, r := range running {
			switch {
			case isCrashed:
				r.instance.Crashed(r.instance.now, server, r.request)
			case r.endsAt <= now:
				r.instance.Completed(r.instance.now, r.request)
			default:
				remaining = append(remaining, r)
			}
		}
		if isCrashed {
			f.crashes++
			if f.crashes <= maxCrashes {
				f.crashedAt = f.instances[0].now
			}
		}
		f.running[server] = remaining
	}
}

func (f *promptFleet) play() {
	for now := range learnTicks + playTicks {
		f.send(now, false)
		if now >= learnTicks && now%deadlyTicks == 0 {
			f.send(now, true)
		}
		f.end(now)
		for n, i := range f.instances {
			i.advance(tick)
			f.instances[(n+1)%len(f.instances)].Merge(f.instances[0].now, i.Updates(i.now))
		}
	}
}

// TestDeadlyPartIsFoundAtAnyPlace guards against a part that crashes servers and is never found, because it stands behind a number of other parts of
// its prompt: crashes went on without end.
func TestDeadlyPartIsFoundAtAnyPlace(t *testing.T) {
	for _, parts := range []int{8, 76, 250, 1300, 4000} {
		for _, position := range []int{0, 2, 69, 249, parts/2 - 1, parts - 1} {
			if position >= parts {
				continue
			}
			t.Run(fmt.Sprintf("place %d of %d", position+1, parts), func(t *testing.T) {
				t.Parallel()
				f := newPromptFleet(parts, position)
				f.play()
				if f.crashes > maxCrashes || f.late > maxLate {
					t.Errorf("%d crashes, %d deadly requests reach servers afterwards", f.crashes, f.late)
				}
				if f.rejected*20 > f.sound {
					t.Errorf("%d of %d sound requests are stopped", f.rejected, f.sound)
				}
			})
		}
	}
}

// TestMessagesAreBounded guards against messages that grow with the parts of prompts until they cannot be received any more, and against a deadly
// part that is left out of them.
func TestMessagesAreBounded(t *testing.T) {
	const requests, parts, maxInMessage = 64, 2000, 4096
	sound := make([]string, 0, parts)
	for n := range parts {
		sound = append(sound, fmt.Sprint("part ", n))
	}
	i := newInstance(sound...)
	for n := range requests {
		own := append([]string{fmt.Sprint("own ", n)}, sound...)
		i.Crashed(i.now, "server", i.request(append(own, "deadly")...))
	}
	updates := i.Updates(i.now)
	sent, deadly := len(updates.Completions), 0
	for _, c := range updates.Crashes {
		sent += len(c.Request.Parts)
		for _, p := range c.Request.Parts {
			if p == i.request("deadly").Parts[0] {
				deadly++
			}
		}
	}
	requireEqual(t, len(updates.Crashes), requests, "requests")
	if sent > maxInMessage {
		t.Errorf("%d traits are in one message", sent)
	}
	if deadly < 2 {
		t.Errorf("%d requests are sent with the deadly part", deadly)
	}
}

// TestNewsWaitsForTheNextMessage guards against news that is never told because it does not fit into one message.
func TestNewsWaitsForTheNextMessage(t *testing.T) {
	const requests, parts = 10, 1000
	i := newInstance()
	for n := range requests {
		own := make([]string, 0, parts)
		for m := range parts {
			own = append(own, fmt.Sprint("part ", n, " ", m))
		}
		i.Crashed(i.now, "server", i.request(own...))
	}
	told := 0
	for range requests {
		for _, c := range i.TakeNews(i.now).Crashes {
			told += len(c.Request.Parts)
		}
	}
	requireEqual(t, told, requests*parts, "parts that are told")
}

// BenchmarkTracker measures the work for a completed request with a number of parts, in calm and while crashes with 32 requests in flight each
// leave many suspects.
func BenchmarkTracker(b *testing.B) {
	for _, parts := range []int{8, 64, 256, 2000} {
		names := make([]string, 0, parts)
		for n := range parts {
			names = append(names, fmt.Sprintf("%08x", n))
		}
		serve := func(i *instance) {
			request := i.request(names...)
			i.Check(i.now, request)
			i.Begin(i.now, request)
			i.Completed(i.now, request)
			i.advance(time.Millisecond)
		}
		b.Run(fmt.Sprintf("calm/parts=%d", parts), func(b *testing.B) {
			i := newInstance()
			b.ReportAllocs()
			for b.Loop() {
				serve(i)
			}
		})
		b.Run(fmt.Sprintf("crashes/parts=%d", parts), func(b *testing.B) {
			i := newInstance()
			crash := func(n int) {
				for m := range 32 {
					own := append([]string{fmt.Sprint("own ", n, " ", m)}, names[1:]...)
					i.Crashed(i.now, fmt.Sprint("server ", n), i.request(own...))
				}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if n%1000 == 0 {
					b.StopTimer()
					crash(n)
					b.StartTimer()
				}
				n++
				serve(i)
			}
		})
		b.Run(fmt.Sprintf("crash/parts=%d", parts), func(b *testing.B) {
			i := newInstance()
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				own := append([]string{fmt.Sprint("own ", n)}, names[1:]...)
				i.Crashed(i.now, fmt.Sprint("server ", n/32), i.request(own...))
				i.advance(time.Millisecond)
			}
		})
	}
}
