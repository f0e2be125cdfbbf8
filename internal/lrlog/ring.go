// Package lrlog writes structured logs without ever blocking, and bounds how many lines are written.
package lrlog

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringLines is the number of lines that wait for a slow reader. Older ones are dropped and counted.
	ringLines = 4096
	// ringPoll is the time between two looks for lines to write.
	ringPoll = 20 * time.Millisecond
	// timeFormat gives log lines of several instances an order within a second.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	// ordinaryShare is the part of the bound that lines about what went well may take. The rest is kept for failures.
	ordinaryShare = 2
)

// New returns a logger that writes JSON lines to the output from a goroutine of its own, at most so many a second. The
// function that is returned writes what still waits. A line says how many others were left out.
func New(output io.Writer, level zerolog.Level, linesPerSecond int, clock func() time.Time) (zerolog.Logger, func()) {
	plain := zerolog.New(output).With().Timestamp().Logger()
	ring := diode.NewWriter(output, ringLines, ringPoll, func(missed int) {
		plain.Warn().Int("lines", missed).Msg("log: lines were lost, the reader is too slow")
	})
	log := zerolog.New(ring).Level(level).Hook(stamp{clock: clock})
	bound := newBound(linesPerSecond, clock, func(left int) {
		log.Warn().Int("lines", left).Msg("log: lines were left out, see linesPerSecond")
	})
	return log.Sample(bound), func() { _ = ring.Close() }
}

// stamp adds the time of day to each line.
type stamp struct{ clock func() time.Time }

// Run adds the time to the line.
func (s stamp) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str("time", s.clock().UTC().Format(timeFormat))
}

// bound lets so many lines a second pass, failures before what went well.
type bound struct {
	lines  int
	clock  func() time.Time
	report func(left int)

	mutex  sync.Mutex
	second int64
	passed int
	left   int
}

func newBound(lines int, clock func() time.Time, report func(left int)) *bound {
	return &bound{lines: lines, clock: clock, report: report}
}

// Sample reports whether a line of the level may be written.
func (b *bound) Sample(level zerolog.Level) bool {
	if b.lines <= 0 {
		return true
	}
	passes, left := b.count(b.clock().Unix(), level)
	if left > 0 {
		b.report(left)
	}
	return passes
}

// count returns whether the line passes, and how many lines were left out in the second before.
func (b *bound) count(second int64, level zerolog.Level) (passes bool, left int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if second != b.second {
		left = b.left
		b.second, b.passed, b.left = second, 0, 0
	}
	limit := b.lines
	if level < zerolog.WarnLevel {
		limit = b.lines / ordinaryShare
	}
	if b.passed >= limit {
		b.left++
		return false, left
	}
	b.passed++
	return true, left
}
