package lrstub

import (
	"context"
	"sync"
	"time"
)

// prefillLane runs one prefill at a time, the one of highest priority first.
type prefillLane struct {
	mutex   sync.Mutex
	busy    bool
	queued  int
	waiting []*prefillWaiter
}

type prefillWaiter struct {
	priority int
	ready    chan struct{}
}

// run waits for the lane and holds it for the time that the function returns when the wait is over.
func (l *prefillLane) run(ctx context.Context, priority, tokens int, hold func() time.Duration) bool {
	if !l.enter(ctx, priority, tokens) {
		return false
	}
	timer := time.NewTimer(hold())
	defer timer.Stop()
	defer l.leave(tokens)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *prefillLane) queuedTokens() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.queued
}

func (l *prefillLane) enter(ctx context.Context, priority, tokens int) bool {
	l.mutex.Lock()
	l.queued += tokens
	if !l.busy {
		l.busy = true
		l.mutex.Unlock()
		return true
	}
	waiter := &prefillWaiter{priority: priority, ready: make(chan struct{})}
	l.waiting = append(l.waiting, waiter)
	l.mutex.Unlock()
	select {
	case <-waiter.ready:
		return true
	case <-ctx.Done():
		l.abandon(waiter, tokens)
		return false
	}
}

func (l *prefillLane) abandon(waiter *prefillWaiter, tokens int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queued -= tokens
	for n, w := range l.waiting {
		if w == waiter {
			l.waiting = append(l.waiting[:n], l.waiting[n+1:]...)
			return
		}
	}
	l.next()
}

func (l *prefillLane) leave(tokens int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.queued -= tokens
	l.next()
}

// next hands the lane to the first waiter of the highest priority.
func (l *prefillLane) next() {
	if len(l.waiting) == 0 {
		l.busy = false
		return
	}
	best := 0
	for n, w := range l.waiting {
		if w.priority > l.waiting[best].priority {
			best = n
		}
	}
	waiter := l.waiting[best]
	l.waiting = append(l.waiting[:best], l.waiting[best+1:]...)
	close(waiter.ready)
}
