package main

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
)

const (
	streamEngines   = 12
	streamInstances = 8
	streamAccounts  = 5
	streamDuration  = 4 * time.Minute
	// engineRate is the prefill rate of one engine in tokens per second.
	engineRate = 50_000
	// steadyLoad is the share of all engines' prefill capacity that the usual traffic of all accounts uses.
	steadyLoad     = 0.5
	minMissing     = 1_000
	maxMissing     = 12_000
	batchAt        = time.Minute
	batchRequests  = 4_000
	batchAccount   = 4
	floodAt        = 2 * time.Minute
	floodUntil     = 3 * time.Minute
	floodAccount   = 3
	floodFactor    = 5
	phonePriority  = 1
	planRateFactor = 2
	planBurst      = 200_000
)

// streamRequest is one request of the trace. Its tokens are those of the prompt that no engine has cached.
type streamRequest struct {
	account   int
	priority  int
	arrivesAt time.Duration
	tokens    int
	// startsAt is the time of its first token.
	startsAt time.Duration
	instance int
}

// streamLoad selects what is added to the usual traffic.
type streamLoad struct {
	batch bool
	flood bool
	// unlimited exempts the flood from the limits of its account's plan.
	unlimited bool
}

func (r *streamRequest) entry() lrqueue.Entry {
	return lrqueue.Entry{Account: fmt.Sprint(r.account), Priority: r.priority, Tokens: r.tokens}
}

// newStreamTrace returns the requests of all accounts in order of arrival. The rate of the flood is five times that of
// the account's plan, which is twice the account's usual traffic.
func newStreamTrace(seed uint64, load streamLoad) []*streamRequest {
	random := rand.New(rand.NewPCG(seed, 21))
	mean := float64(minMissing+maxMissing) / 2
	usual := steadyLoad * engineRate * streamEngines / mean / streamAccounts
	var trace []*streamRequest
	add := func(account, priority int, at time.Duration) {
		trace = append(trace, &streamRequest{
			account: account, priority: priority, arrivesAt: at, instance: random.IntN(streamInstances),
			tokens: minMissing + random.IntN(maxMissing-minMissing),
		})
	}
	for account := range streamAccounts {
		for at := time.Duration(0); at < streamDuration; {
			rate := usual
			if load.flood && account == floodAccount && at >= floodAt && at < floodUntil {
				rate *= floodFactor * planRateFactor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			add(account, phonePriority, at)
		}
	}
	for n := 0; load.batch && n < batchRequests; n++ {
		add(batchAccount, 0, batchAt+time.Duration(n)*time.Millisecond)
	}
	slices.SortStableFunc(trace, func(a, b *streamRequest) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	if load.unlimited {
		return trace
	}
	return withinLimits(trace, usual*mean*planRateFactor)
}

// withinLimits removes the phone-side requests above the rate and burst of their account's plan.
func withinLimits(trace []*streamRequest, rate float64) []*streamRequest {
	epoch := time.Unix(0, 0)
	buckets := make([]lrlimit.Bucket, streamAccounts)
	for n := range buckets {
		buckets[n] = lrlimit.NewBucket(epoch, rate, planBurst).WithTokens(planBurst)
	}
	return slices.DeleteFunc(trace, func(r *streamRequest) bool {
		if r.priority == 0 {
			return false
		}
		bucket := buckets[r.account].WithTime(epoch.Add(r.arrivesAt))
		refused := bucket.Wait(float64(r.tokens)) != 0
		if !refused {
			bucket = bucket.WithTokens(-float64(r.tokens))
		}
		buckets[r.account] = bucket
		return refused
	})
}

// admission decides which requests are forwarded to the engines, and in which order.
type admission interface {
	arrive(r *streamRequest)
	// next returns a request that may be forwarded now.
	next() (*streamRequest, bool)
	started(r *streamRequest)
}

// fifo forwards every request immediately, in order of arrival.
type fifo struct{ waiting []*streamRequest }

func (f *fifo) arrive(r *streamRequest) { f.waiting = append(f.waiting, r) }

func (f *fifo) next() (*streamRequest, bool) {
	if len(f.waiting) == 0 {
		return nil, false
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	return r, true
}

func (f *fifo) started(*streamRequest) {}

// fair is the router's fair queue, with one scheduler for each instance.
type fair struct {
	schedulers []*lrqueue.Scheduler[*streamRequest]
	inFlight   []*lrqueue.InFlight
	capacity   int
}

// newFair returns a fair queue that admits engineTokens tokens in flight per engine, divided among all instances.
func newFair(engineTokens int) *fair {
	f := &fair{capacity: engineTokens * streamEngines / streamInstances}
	for range streamInstances {
		f.inFlight = append(f.inFlight, lrqueue.NewInFlight())
		f.schedulers = append(f.schedulers, lrqueue.NewScheduler[*streamRequest](lrprefix.BlockTokens))
	}
	return f
}

func (f *fair) arrive(r *streamRequest) {
	f.schedulers[r.instance].Push(r.entry(), r)
}

func (f *fair) next() (*streamRequest, bool) {
	for n, s := range f.schedulers {
		priority, ok := s.NextPriority()
		if !ok || !f.inFlight[n].HasCapacity(priority, f.capacity) {
			continue
		}
		ticket, _ := s.Pop()
		f.inFlight[n].Add(ticket.Entry)
		return ticket.Value, true
	}
	return nil, false
}

func (f *fair) started(r *streamRequest) { f.inFlight[r.instance].Remove(r.entry()) }

// modelEngine is a simulated engine that runs one prefill at a time.
type modelEngine struct {
	usesPriority bool
	queue        []*streamRequest
	running      *streamRequest
	freeAt       time.Duration
	tokens       int
}

func (e *modelEngine) push(now time.Duration, r *streamRequest) {
	e.tokens += r.tokens
	e.queue = append(e.queue, r)
	if e.running == nil {
		e.start(now)
	}
}

func (e *modelEngine) start(now time.Duration) {
	if len(e.queue) == 0 {
		return
	}
	best := 0
	for n, r := range e.queue {
		if e.usesPriority && r.priority > e.queue[best].priority {
			best = n
		}
	}
	e.running = e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	e.freeAt = now + time.Duration(e.running.tokens)*time.Second/engineRate
	e.running.startsAt = e.freeAt
}

// engineHeap orders the busy engines by the time at which they become free.
type engineHeap []*modelEngine

func (h engineHeap) Len() int           { return len(h) }
func (h engineHeap) Less(a, b int) bool { return h[a].freeAt < h[b].freeAt }
func (h engineHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *engineHeap) Push(value any)    { *h = append(*h, value.(*modelEngine)) }
func (h *engineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// playStream simulates serving the trace and sets the time of each request's first token.
func playStream(trace []*streamRequest, a admission, usesPriority bool) {
	engines := make([]*modelEngine, streamEngines)
	for n := range engines {
		engines[n] = &modelEngine{usesPriority: usesPriority}
	}
	busy := &engineHeap{}
	admit := func(now time.Duration) {
		for r, ok := a.next(); ok; r, ok = a.next() {
			e := slices.MinFunc(engines, func(x, y *modelEngine) int { return x.tokens - y.tokens })
			idle := e.running == nil
			e.push(now, r)
			if idle {
				heap.Push(busy, e)
			}
		}
	}
	for len(trace) > 0 || busy.Len() > 0 {
		if busy.Len() == 0 || len(trace) > 0 && trace[0].arrivesAt <= (*busy)[0].freeAt {
			a.arrive(trace[0])
			admit(trace[0].arrivesAt)
			trace = trace[1:]
			continue
		}
		e := heap.Pop(busy).(*modelEngine)
		done, now := e.running, e.freeAt
		e.running = nil
		e.tokens -= done.tokens
		a.started(done)
		e.start(now)
		if e.running != nil {
			heap.Push(busy, e)
		}
		admit(now)
	}
}
