package lrstub

import (
	"context"
	"sync"
	"time"
)

// prefillQueue runs one prefill at a time, the one of highest priority first. Equal priorities run in order of arrival.
type prefillQueue struct {
	mutex         sync.Mutex
	busy          bool
	pendingTokens int
	waiting       []*prefillWaiter
}

type prefillWaiter struct {
	priority int
	ready    chan struct{}
}

// run waits for the slot and occupies it for the duration that the function returns once the wait is over.
// It reports false when the context ends first.
func (q *prefillQueue) run(ctx context.Context, priority, tokens int, duration func() time.Duration) bool {
	if !q.acquire(ctx, priority, tokens) {
		return false
	}
	timer := time.NewTimer(duration())
	defer timer.Stop()
	defer q.release(tokens)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (q *prefillQueue) queuedTokens() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pendingTokens
}

func (q *prefillQueue) acquire(ctx context.Context, priority, tokens int) bool {
	q.mutex.Lock()
	q.pendingTokens += tokens
	if !q.busy {
		q.busy = true
		q.mutex.Unlock()
		return true
	}
	waiter := &prefillWaiter{priority: priority, ready: make(chan struct{})}
	q.waiting = append(q.waiting, waiter)
	q.mutex.Unlock()
	select {
	case <-waiter.ready:
		return true
	case <-ctx.Done():
		q.cancelWait(waiter, tokens)
		return false
	}
}

func (q *prefillQueue) cancelWait(waiter *prefillWaiter, tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pendingTokens -= tokens
	for n, w := range q.waiting {
		if w == waiter {
			q.waiting = append(q.waiting[:n], q.waiting[n+1:]...)
			return
		}
	}
	q.grantNext()
}

func (q *prefillQueue) release(tokens int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pendingTokens -= tokens
	q.grantNext()
}

// grantNext gives the slot to the first waiter of the highest priority. The caller holds the mutex.
func (q *prefillQueue) grantNext() {
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	best := 0
	for n, w := range q.waiting {
		if w.priority > q.waiting[best].priority {
			best = n
		}
	}
	waiter := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	close(waiter.ready)
}
