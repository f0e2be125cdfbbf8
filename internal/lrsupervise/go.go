package lrsupervise

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Go runs the work in a goroutine of its own. A panic ends the work alone, and is logged with its stack: no other place starts goroutines,
// so that one malformed message cannot take the process down.
func Go(log zerolog.Logger, name string, work func()) {
	start(log, name, work, func() {})
}

// Go runs the work beside the duties. It may be called at any time.
func (s *Supervisor) Go(name string, work func()) {
	start(s.log, s.name+"/"+name, work, func() { s.panics.Add(1) })
}

// Panics returns how often duties and other work have ended with a panic.
func (s *Supervisor) Panics() int64 { return s.panics.Load() }

func start(log zerolog.Logger, name string, work, onPanic func()) {
	go func() {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			onPanic()
			log.Error().Str("work", name).Interface("panic", value).Bytes("stack", debug.Stack()).Msg("supervise: work ended with a panic")
		}()
		work()
	}()
}
