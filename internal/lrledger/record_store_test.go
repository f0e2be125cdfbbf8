package lrledger

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

const retention = 30 * 24 * time.Hour

// TestWritesOfOneAction counts the writes to the platform for one action without faults.
func TestWritesOfOneAction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(1, newLedger, func(string, int, int) fault { return faultNone })
		requireEqual(t, s.send(0, testBody, longWait).err, nil, "error")
		requireEqual(t, s.writes, 3, "writes")
		requireEqual(t, s.calls, 4, "calls to the platform and the service")
	})
}

// TestAnswerOfALostRecordIsRecorded guards against an action that runs twice because the platform came back from an older copy, which lacks its
// record, while the service was running it: its answer was dropped without a word, and a repeated request found nothing.
func TestAnswerOfALostRecordIsRecorded(t *testing.T) {
	const recordAnswer = 4
	synctest.Test(t, func(t *testing.T) {
		var s *simulation
		s = newSimulation(2, newLedger, func(_ string, _, call int) fault {
			if call == recordAnswer {
				object, err := s.memory.Get(t.Context(), lrplatform.KindPaid, lrpaid.RecordName(testAccount, testKey))
				requireEqual(t, err, nil, "error")
				requireEqual(t, s.memory.Delete(t.Context(), object), nil, "error")
			}
			return faultNone
		})
		requireEqual(t, s.send(0, testBody, longWait).err, nil, "error")
		time.Sleep(longWait)
		repeated := s.send(1, testBody, longWait)
		requireEqual(t, repeated.err, nil, "error")
		requireEqual(t, repeated.response.Header.Get(HeaderReplayed), "true", "it is a replay")
		requireEqual(t, len(s.service.effectsOf(testKey)), 1, "effects")
	})
}

// TestResolve resolves an action whose answer was lost and reads the audit entry.
func TestResolve(t *testing.T) {
	for _, outcome := range []lrpaid.ResolvedOutcome{lrpaid.ResolvedDone, lrpaid.ResolvedNotRun} {
		t.Run(string(outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { resolveAs(t, outcome) })
		})
	}
}

func resolveAs(t *testing.T, outcome lrpaid.ResolvedOutcome) {
	t.Helper()
	lostMessage := faultLostReply
	if outcome == lrpaid.ResolvedNotRun {
		lostMessage = faultLostRequest
	}
	s := newSimulation(1, newLedger, func(_ string, _, call int) fault {
		if call == 3 {
			return lostMessage
		}
		return faultNone
	})
	requireEqual(t, lrerror.From(s.send(0, testBody, longWait).err).Outcome(), lrerror.Unknown, "outcome")
	records := NewRecordStore(s.memory)
	resolution := lrpaid.Resolution{Outcome: outcome, Reason: "bank statement", Who: "operator", When: time.Now()}
	_, err := records.Resolve(context.Background(), time.Now(), testAccount, testKey, resolution)
	requireEqual(t, err != nil, true, "an action that may be in progress is not resolved")
	time.Sleep(longWait)
	_, err = records.Resolve(context.Background(), time.Now(), testAccount, testKey, resolution)
	requireEqual(t, err, nil, "error")
	_, err = records.Resolve(context.Background(), time.Now(), testAccount, testKey, resolution)
	requireEqual(t, err != nil, true, "a resolved action is not resolved again")
	entries, err := records.Audit(context.Background())
	requireEqual(t, err, nil, "error")
	requireEqual(t, len(entries), 1, "audit entries")
	requireEqual(t, entries[0].Who, "operator", "who")
	last := s.send(0, testBody, longWait)
	requireEqual(t, lrerror.From(last.err).Outcome() == lrerror.Ran, outcome == lrpaid.ResolvedDone, "the caller is told that the action ran")
	requireEqual(t, len(s.check()), 0, "violations")
}

// TestRetention checks that records are removed by age, but never the record of an action in doubt.
func TestRetention(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	attempt := lrpaid.Attempt{Account: testAccount, IdempotencyKey: testKey, Nonce: "n"}
	claimed := lrpaid.NewRecord(now, attempt)
	dispatched := claimed.WithDispatch(now, lrpaid.Policy{}, nil)
	done := dispatched.WithAnswer(now, lrpaid.NewAnswer(http.StatusOK, nil, nil))
	cases := []struct {
		name    string
		record  lrpaid.Record
		age     time.Duration
		removed bool
	}{
		{"done, young", done, retention, false},
		{"done, old", done, retention + time.Second, true},
		{"in doubt", dispatched, 100 * retention, false},
		{"claimed, old", claimed, retention + time.Second, true},
		{"resolved, old", dispatched.WithResolution(lrpaid.Resolution{When: now}), retention + time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := lrplatform.NewMemory()
			name := lrpaid.RecordName(testAccount, testKey)
			value := encode(t, c.record)
			_, err := memory.Create(context.Background(), lrplatform.KindPaid, name, value)
			requireEqual(t, err, nil, "error")
			cleaner := NewCleaner(memory, singleMember{}, retention, zerolog.Nop())
			for range shardCount {
				cleaner.Clean(context.Background(), now.Add(c.age))
			}
			_, err = memory.Get(context.Background(), lrplatform.KindPaid, name)
			requireEqual(t, lrplatform.ErrNotFound.Has(err), c.removed, "removed")
		})
	}
}

// singleMember is a membership with one instance.
type singleMember struct{}

func (singleMember) Self() lrpeer.Member { return lrpeer.Member{Name: "router-1"} }

func (r singleMember) Members() []lrpeer.Member { return []lrpeer.Member{r.Self()} }

// TestLargestAnswerFits checks that a record with the largest recorded answer fits into a platform object, even when JSON
// escapes every character of its headers and key.
func TestLargestAnswerFits(t *testing.T) {
	header := http.Header{"X": {string(bytes.Repeat([]byte{'<'}, lrpaid.MaxHeaderBytes-1))}}
	answer := lrpaid.NewAnswer(http.StatusOK, header, make([]byte, lrpaid.MaxAnswerBytes))
	requireEqual(t, answer.Truncated, false, "truncated")
	attempt := lrpaid.Attempt{Account: testAccount, IdempotencyKey: string(bytes.Repeat([]byte{'<'}, lrpaid.MaxKeyBytes))}
	value := encode(t, lrpaid.NewRecord(time.Time{}, attempt).WithAnswer(time.Time{}, answer))
	requireEqual(t, len(value) <= lrplatform.MaxValueBytes, true, "the record fits")
	requireEqual(t, lrpaid.NewAnswer(http.StatusOK, nil, make([]byte, lrpaid.MaxAnswerBytes+1)).Truncated, true, "truncated")
}
