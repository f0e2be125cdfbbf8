package lrqueue

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// minRetryAfter is the least time in the Retry-After header of a refusal.
const minRetryAfter = time.Second

// Options configure a FairQueue.
type Options struct {
	// Quantum is the number of tokens that a client account may send per round of the round robin.
	Quantum int
	// MaxTokens is the most tokens that may wait.
	MaxTokens int
	// MaxWait is the longest that an entry waits.
	MaxWait time.Duration
}

// A FairQueue admits entries while their tokens fit the capacity, in the order of a Scheduler.
type FairQueue struct {
	options    Options
	mutex      sync.Mutex
	scheduler  *Scheduler[*waiter]
	capacity   int
	admitted   *InFlight
	throughput throughput
}

// waiter notifies a waiting entry that it has been admitted or refused.
type waiter struct {
	admitted chan struct{}
	refused  chan struct{}
}

// NewFairQueue returns an empty queue of the given capacity in tokens.
func NewFairQueue(options Options, capacity int) *FairQueue {
	return &FairQueue{options: options, scheduler: NewScheduler[*waiter](options.Quantum), capacity: capacity, admitted: NewInFlight()}
}

// SetCapacity changes the most tokens that may be admitted at once.
func (f *FairQueue) SetCapacity(now time.Time, tokens int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = tokens
	f.dispatch(now)
}

// Waiting returns the tokens of the waiting entries.
func (f *FairQueue) Waiting() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.scheduler.Waiting()
}

// Enter waits until the entry may be dispatched, as Queue specifies.
func (f *FairQueue) Enter(ctx context.Context, now time.Time, entry Entry) (func(now time.Time), error) {
	release := func(now time.Time) { f.release(now, entry) }
	ticket, err := f.join(ctx, now, entry)
	if err != nil {
		return nil, err
	}
	if ticket == nil {
		return release, nil
	}
	timer := time.NewTimer(f.options.MaxWait)
	defer timer.Stop()
	select {
	case <-ticket.Value.admitted:
		return release, nil
	case <-ticket.Value.refused:
		return nil, overloaded(f.options.MaxWait)
	case <-timer.C:
		err = overloaded(f.options.MaxWait)
	case <-ctx.Done():
		err = lrerror.New(lrerror.KindTimeout, lrerror.NotRun, "the caller left or ran out of time in the queue; retry later").WithCause(ctx.Err())
	}
	if f.removeWaiting(ticket) {
		return nil, err
	}
	return f.decideLate(ticket, release)
}

// decideLate returns the result for a ticket that was admitted or refused just before its wait ended.
func (f *FairQueue) decideLate(ticket *Ticket[*waiter], release func(time.Time)) (func(time.Time), error) {
	select {
	case <-ticket.Value.admitted:
		return release, nil
	default:
		return nil, overloaded(f.options.MaxWait)
	}
}

// join admits the entry at once, in which case it returns no ticket, or adds it to the waiting entries.
func (f *FairQueue) join(ctx context.Context, now time.Time, entry Entry) (*Ticket[*waiter], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.throughput.advance(now, f.admitted.Total() > 0)
	next, waits := f.scheduler.NextPriority()
	if (!waits || next < entry.Priority) && f.admitted.HasCapacity(entry.Priority, f.capacity) {
		f.admitted.Add(entry)
		return nil, nil
	}
	wait := f.throughput.timeFor(f.scheduler.Ahead(entry))
	deadline, ok := ctx.Deadline()
	if wait > f.options.MaxWait || ok && now.Add(wait).After(deadline) {
		return nil, overloaded(wait)
	}
	if !f.evictFor(entry) {
		return nil, overloaded(wait)
	}
	return f.scheduler.Push(entry, &waiter{admitted: make(chan struct{}), refused: make(chan struct{})}), nil
}

// evictFor refuses waiting entries of the client account with the most waiting tokens until the entry fits. It reports false
// when the entry itself is the one to refuse.
func (f *FairQueue) evictFor(entry Entry) bool {
	for f.scheduler.Waiting() > 0 && f.scheduler.Waiting()+entry.Tokens > f.options.MaxTokens {
		ticket, ok := f.scheduler.EvictionCandidate(entry)
		if !ok {
			return false
		}
		f.scheduler.Remove(ticket)
		close(ticket.Value.refused)
	}
	return true
}

// removeWaiting removes the ticket from the queue. It reports false when the ticket does not wait any more.
func (f *FairQueue) removeWaiting(ticket *Ticket[*waiter]) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.scheduler.Remove(ticket)
}

func (f *FairQueue) release(now time.Time, entry Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.throughput.advance(now, f.admitted.Total() > 0)
	f.throughput.served(entry.Tokens)
	f.admitted.Remove(entry)
	f.dispatch(now)
}

// dispatch admits waiting entries while there is capacity.
func (f *FairQueue) dispatch(now time.Time) {
	f.throughput.advance(now, f.admitted.Total() > 0)
	for {
		priority, ok := f.scheduler.NextPriority()
		if !ok || !f.admitted.HasCapacity(priority, f.capacity) {
			return
		}
		ticket, _ := f.scheduler.Pop()
		f.admitted.Add(ticket.Entry)
		close(ticket.Value.admitted)
	}
}

func overloaded(wait time.Duration) error {
	return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun,
		"the engines cannot serve the request in time; retry after the time in Retry-After").WithRetryAfter(max(wait, minRetryAfter))
}
