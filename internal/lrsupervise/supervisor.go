// Package lrsupervise runs the duties of a process, each in a goroutine of its own, and restarts those that fail.
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

// A Duty is work that goes on until its context ends. A duty that returns earlier is started again.
type Duty func(ctx context.Context) error

// A Supervisor owns a set of duties. Supervisors form a tree, since Run is itself a Duty.
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

// Add gives the supervisor a duty. It must be called before Run.
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
		group.Go(func() { s.keep(ctx, d) })
	}
	group.Wait()
	return nil
}

func (s *Supervisor) keep(ctx context.Context, d namedDuty) {
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

func (s *Supervisor) runProtected(ctx context.Context, d namedDuty) (err error) {
	defer func() {
		value := recover()
		if value != nil {
			s.panics.Add(1)
			err = fmt.Errorf("panic: %v\n%s", value, debug.Stack())
		}
	}()
	return d.duty(ctx)
}
