package lrlog

import (
	"io"
	"sync/atomic"
)

const (
	// longLineBytes is the size from which a line counts as long. Callers can make lines of 16 KB with the identifier of a request, of which
	// the buffer would hold 64 MB for a reader that is stalled.
	longLineBytes = 2 << 10
	// maxLongBytes bounds the long lines that wait for the reader.
	maxLongBytes = 2 << 20
)

// longLines passes lines to the buffer and drops long ones while many of them wait for the reader.
type longLines struct {
	next    io.Writer
	waiting atomic.Int64
}

// Write passes the line on, or drops it.
func (l *longLines) Write(line []byte) (int, error) {
	if len(line) < longLineBytes {
		return l.next.Write(line)
	}
	if l.waiting.Add(int64(len(line))) > maxLongBytes {
		l.waiting.Add(-int64(len(line)))
		return len(line), nil
	}
	return l.next.Write(line)
}

// reset forgets the waiting lines, since some of them have been dropped from the buffer.
func (l *longLines) reset() { l.waiting.Store(0) }

// lineWriter writes lines from the buffer to the output.
type lineWriter struct {
	output io.Writer
	long   *longLines
}

// Write writes one line.
func (w lineWriter) Write(line []byte) (int, error) {
	n, err := w.output.Write(line)
	if len(line) >= longLineBytes {
		w.long.waiting.Add(-int64(len(line)))
	}
	return n, err
}
