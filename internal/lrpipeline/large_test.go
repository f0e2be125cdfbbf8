package lrpipeline

import (
	"strings"
	"testing"
)

// TestLargeAnswersArePassedOnWhole answers with more than may be held. The caller gets every byte with the length that the server told,
// and sees an answer that broke off as not whole.
func TestLargeAnswersArePassedOnWhole(t *testing.T) {
	large := strings.Repeat("x", maxHeldAnswer+2*pieceBytes+7)
	length := int64(len(large))
	cases := []struct {
		name, route string
		step        step
		aborted     bool
		length      int64
	}{
		{"of a known length", "read", step{body: large, length: length}, false, length},
		{"of an unknown length", "read", step{body: large, length: -1}, false, -1},
		{"paid", "pay", step{body: large, length: length}, false, length},
		{"failed", "read", step{status: 500, body: large, length: length}, false, length},
		{"broken off", "read", step{body: large, length: 2 * length, broken: true}, true, 2 * length},
		{"broken off, of an unknown length", "pay", step{body: large, length: -1, broken: true}, true, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.step, step{body: "another answer"})
			caller := w.serve(c.route)
			requireEqual(t, caller.status, max(c.step.status, 200))
			requireEqual(t, len(caller.body), len(large))
			requireEqual(t, caller.aborted, c.aborted)
			requireEqual(t, caller.length, c.length)
			requireEqual(t, caller.refusal, nil)
			requireEqual(t, len(w.backend.attempts), 1)
			requireEqual(t, w.pipeline.Held.Left(), testRoom)
		})
	}
}

// TestAnswersWithoutRoomArePassedOnWhole answers while other requests hold all that may be held.
func TestAnswersWithoutRoomArePassedOnWhole(t *testing.T) {
	w := newWorld(t, step{body: "ok", length: 2})
	others := w.pipeline.Held.Hold()
	_, isWhole, _ := others.ReadAll(endless{}, testRoom-1)
	requireEqual(t, isWhole, false)
	caller := w.serve("read")
	requireEqual(t, caller.body, "ok")
	requireEqual(t, caller.aborted, false)
	others.Release()
	requireEqual(t, w.pipeline.Held.Left(), testRoom)
}

type endless struct{}

// Read fills the data.
func (endless) Read(data []byte) (int, error) { return len(data), nil }
