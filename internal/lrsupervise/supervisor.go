// Package lrsupervise runs the long-lived background tasks of a process, called duties, each in its own goroutine, and restarts those
// that fail.
package lrsupervise

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	firstRestartDelay = 50 * time.Millisecond
	maxRestartDelay   = 5 * time.Second
)

// A Duty is a background task that runs until its context ends. If it returns earlier, it is restarted with exponential backoff.
type Duty func(ctx context.Context) error

// A Supervisor runs a set of duties. Supervisors can be nested, since Run is itself a Duty.
type Supervisor struct {
	name   string
	log    zerolog.Logger
	duties []namedDuty
	done   chan struct{}
	panics atomic.Int64
}

type namedDuty struct {
	name string
	duty Duty
}

// New returns a Supervisor without duties.
func New(name string, log zerolog.Logger) *Supervisor {
	return &Supervisor{name: name, log: log, done: make(chan struct{})}
}

// Add adds a duty. It must be called before Run.
func (s *Supervisor) Add(name string, duty Duty) {
	s.duties = append(s.duties, namedDuty{name: name, duty: duty})
}

// Done is closed when Run has returned.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Run starts all duties and returns when the context has ended and every duty has stopped.
func (s *Supervisor) Run(ctx context.Context) error {
	defer close(s.done)
	var group sync.WaitGroup
	for _, d := range s.duties {
		group.Go(func() { s.keepRunning(ctx, d) })
	}
	group.Wait()
	return nil
}

// keepRunning runs the duty and restarts it until the context ends. The backoff starts again after a run that lasted longer than
// maxRestartDelay.
func (s *Supervisor) keepRunning(ctx context.Context, d namedDuty) {
	delay := firstRestartDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := s.runProtected(ctx, d)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxRestartDelay {
			delay = firstRestartDelay
		}
		s.log.Error().Err(err).Str("duty", s.name+"/"+d.name).Dur("restartIn", delay).Msg("supervise: duty stopped, restarting")
		Sleep(ctx, delay)
		delay = min(2*delay, maxRestartDelay)
	}
}

// runProtected runs the duty once and returns a panic as an error.
func (s *Supervisor) runProtected(ctx context.Context, d namedDuty) (err error) {
	defer func() {
		recovered := recover()
		if recovered != nil {
			s.panics.Add(1)
			err = fmt.Errorf("panic: %v\n%s", recovered, debug.Stack())
		}
	}()
	return d.duty(ctx)
}
