// Package lrlog writes structured logs without blocking, and limits the number of lines per second.
package lrlog

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringLines is the capacity of the buffer of lines that wait for a slow reader. The oldest ones are dropped and counted.
	ringLines = 4096
	// ringPollInterval is the time between two checks for lines to write.
	ringPollInterval = 20 * time.Millisecond
	// timeFormat has milliseconds, so that lines of several instances can be ordered within a second.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// infoLimitDivisor divides the limit for lines below the level of a warning. The rest of the limit is reserved for warnings and errors.
	infoLimitDivisor = 2
)

// New returns a logger that writes at most linesPerSecond JSON lines a second to the output, from its own goroutine. The returned
// function writes the lines that are still buffered and closes the logger. A line reports how many others were omitted.
func New(output io.Writer, level zerolog.Level, linesPerSecond int, clock func() time.Time) (zerolog.Logger, func()) {
	direct := zerolog.New(output).With().Timestamp().Logger()
	long := &longLines{}
	ring := diode.NewWriter(lineWriter{output: output, long: long}, ringLines, ringPollInterval, func(dropped int) {
		long.reset()
		direct.Warn().Int("lines", dropped).Msg("log: lines were lost, the reader is too slow")
	})
	long.next = ring
	log := zerolog.New(long).Level(level).Hook(timestampHook{clock: clock})
	limiter := newLineLimiter(linesPerSecond, clock, func(omitted int) {
		log.Warn().Int("lines", omitted).Msg("log: lines were left out, see linesPerSecond")
	})
	return log.Sample(limiter), func() { _ = ring.Close() }
}

// timestampHook adds the wall-clock time to each line.
type timestampHook struct{ clock func() time.Time }

// Run adds the time to the line.
func (h timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str("time", h.clock().UTC().Format(timeFormat))
}

// lineLimiter limits the lines per second and reserves part of the limit for warnings and errors. Without a positive limit, all lines
// are written.
type lineLimiter struct {
	lines  int
	clock  func() time.Time
	report func(omitted int)

	mutex   sync.Mutex
	second  int64
	passed  int
	omitted int
}

func newLineLimiter(lines int, clock func() time.Time, report func(omitted int)) *lineLimiter {
	return &lineLimiter{lines: lines, clock: clock, report: report}
}

// Sample reports whether a line of the level may be written.
func (l *lineLimiter) Sample(level zerolog.Level) bool {
	if l.lines <= 0 {
		return true
	}
	passes, omitted := l.admit(l.clock().Unix(), level)
	if omitted > 0 {
		l.report(omitted)
	}
	return passes
}

// admit returns whether the line may be written, and how many lines were omitted in the previous period if a new second has begun.
func (l *lineLimiter) admit(second int64, level zerolog.Level) (passes bool, omitted int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second != l.second {
		omitted = l.omitted
		l.second, l.passed, l.omitted = second, 0, 0
	}
	limit := l.lines
	if level < zerolog.WarnLevel {
		limit = l.lines / infoLimitDivisor
	}
	if l.passed >= limit {
		l.omitted++
		return false, omitted
	}
	l.passed++
	return true, omitted
}
