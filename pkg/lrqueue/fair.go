package lrqueue

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const minRetryAfter = time.Second

// Options bound a Fair queue.
type Options struct {
	// Quantum is the number of tokens that a client account may send in one round.
	Quantum int
	// MaxTokens is the most tokens that may wait.
	MaxTokens int
	// MaxWait is the longest that an entry waits.
	MaxWait time.Duration
}

// A Fair queue admits entries while their tokens fit the capacity, in the order of a Scheduler.
type Fair struct {
	options   Options
	mutex     sync.Mutex
	scheduler *Scheduler[*turn]
	capacity  int
	admitted  *InFlight
	rate      throughput
}

// turn is how a waiting entry is told that it may go on, or that it has been refused.
type turn struct {
	admitted chan struct{}
	refused  chan struct{}
}

// NewFair returns an empty queue of the given capacity in tokens.
func NewFair(options Options, capacity int) *Fair {
	return &Fair{options: options, scheduler: NewScheduler[*turn](options.Quantum), capacity: capacity, admitted: NewInFlight()}
}

// SetCapacity changes the most tokens that may be admitted at once.
func (f *Fair) SetCapacity(now time.Time, tokens int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = tokens
	f.dispatch(now)
}

// Waiting returns the tokens that wait.
func (f *Fair) Waiting() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.scheduler.Waiting()
}

// Enter waits until the entry may be dispatched.
func (f *Fair) Enter(ctx context.Context, now time.Time, entry Entry) (func(now time.Time), error) {
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
	if f.abandon(ticket) {
		return nil, err
	}
	return f.lateTurn(ticket, release)
}

// lateTurn decides for a ticket that left the queue just before it was abandoned.
func (f *Fair) lateTurn(ticket *Ticket[*turn], release func(time.Time)) (func(time.Time), error) {
	select {
	case <-ticket.Value.admitted:
		return release, nil
	default:
		return nil, overloaded(f.options.MaxWait)
	}
}

// join admits the entry at once, in which case it returns no ticket, or lets it wait.
func (f *Fair) join(ctx context.Context, now time.Time, entry Entry) (*Ticket[*turn], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rate.advance(now, f.admitted.Total() > 0)
	next, waits := f.scheduler.NextPriority()
	if (!waits || next < entry.Priority) && f.admitted.HasRoom(entry.Priority, f.capacity) {
		f.admitted.Add(entry)
		return nil, nil
	}
	wait := f.rate.timeFor(f.scheduler.Ahead(entry))
	deadline, ok := ctx.Deadline()
	if wait > f.options.MaxWait || ok && now.Add(wait).After(deadline) {
		return nil, overloaded(wait)
	}
	if !f.makeRoom(entry) {
		return nil, overloaded(wait)
	}
	return f.scheduler.Push(entry, &turn{admitted: make(chan struct{}), refused: make(chan struct{})}), nil
}

// makeRoom refuses entries of the client account with the most waiting tokens until the entry fits. It reports false
// when the entry is itself the one to refuse.
func (f *Fair) makeRoom(entry Entry) bool {
	for f.scheduler.Waiting() > 0 && f.scheduler.Waiting()+entry.Tokens > f.options.MaxTokens {
		ticket, ok := f.scheduler.Largest(entry)
		if !ok {
			return false
		}
		f.scheduler.Remove(ticket)
		close(ticket.Value.refused)
	}
	return true
}

func (f *Fair) abandon(ticket *Ticket[*turn]) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.scheduler.Remove(ticket)
}

func (f *Fair) release(now time.Time, entry Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rate.advance(now, f.admitted.Total() > 0)
	f.rate.served(entry.Tokens)
	f.admitted.Remove(entry)
	f.dispatch(now)
}

// dispatch admits waiting entries while there is room.
func (f *Fair) dispatch(now time.Time) {
	f.rate.advance(now, f.admitted.Total() > 0)
	for {
		priority, ok := f.scheduler.NextPriority()
		if !ok || !f.admitted.HasRoom(priority, f.capacity) {
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
