package lrengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"
)

const (
	maxEventBytes = 1 << 20
	// drainTimeout limits the wait for the end of the response after its last event. A connection is reusable only after that.
	drainTimeout = 100 * time.Millisecond
)

type stream struct {
	body     io.ReadCloser
	scanner  *bufio.Scanner
	cancel   context.CancelFunc
	complete bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	scanner.Split(splitEvents)
	return &stream{body: body, scanner: scanner, cancel: cancel}
}

// splitEvents is a bufio.SplitFunc that returns only complete lines. Data after the last line end is a truncated event, and an
// error.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func (s *stream) Next() (Event, error) {
	var event Event
	if !s.scanner.Scan() {
		return event, classifyEnd(s.scanner.Err())
	}
	err := json.Unmarshal(s.scanner.Bytes(), &event)
	if err != nil {
		return event, ErrProtocol.Wrap(err)
	}
	s.complete = event.Done
	return event, nil
}

func classifyEnd(err error) error {
	switch {
	case err == nil:
		return ErrBroken.Wrap(io.ErrUnexpectedEOF)
	case errors.Is(err, bufio.ErrTooLong):
		return ErrProtocol.New("event above %d bytes", maxEventBytes)
	default:
		return ErrBroken.Wrap(err)
	}
}

// Close ends the stream. The connection is reused only if the response has been read to its end.
func (s *stream) Close() error {
	if s.complete {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_ = s.scanner.Scan()
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
