package lrsupervise

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Go runs the function in a new goroutine. A panic ends only this goroutine and is logged with its stack. All goroutines of the program
// are started by this package, so that one malformed message cannot crash the process.
func Go(log zerolog.Logger, name string, work func()) {
	startProtected(log, name, work, func() {})
}

// Go runs the function in a new goroutine beside the duties. It may be called at any time.
func (s *Supervisor) Go(name string, work func()) {
	startProtected(s.log, s.name+"/"+name, work, func() { s.panics.Add(1) })
}

// Panics returns how many runs of duties and other functions have ended with a panic.
func (s *Supervisor) Panics() int64 { return s.panics.Load() }

func startProtected(log zerolog.Logger, name string, work, onPanic func()) {
	go func() {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			onPanic()
			log.Error().Str("work", name).Interface("panic", recovered).Bytes("stack", debug.Stack()).Msg("supervise: work ended with a panic")
		}()
		work()
	}()
}
