package lrledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// The platform comes back from a copy that is older than an action which has run. Its record was gone, or said that nothing had been sent,
// so that a caller who repeated the request ran the action a second time.
func TestRecordOutlastsRestoreOfPlatform(t *testing.T) {
	cases := []struct {
		name string
		// copyAt is the number of the call of the first instance at which the copy is taken; the calls create the claim, dispatch it, send
		// the action and record its answer.
		copyAt int
	}{
		{"no record", 1},
		{"claimed", 2},
		{"dispatched", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var older lrplatform.MemoryCopy
				var s *simulation
				s = newSimulation(2, newLedger, func(_ string, _, call int) fault {
					if call == c.copyAt {
						older = s.memory.Copy()
					}
					return faultNone
				})
				first := s.send(0, testBody, longWait)
				requireEqual(t, first.err, nil, "error of the action")
				synctest.Wait()
				s.memory.Restore(older)
				for range 20 {
					time.Sleep(time.Second)
					s.confirmRecords()
				}
				again := s.send(1, testBody, longWait)
				requireEqual(t, again.err, nil, "error of the repeated request")
				requireEqual(t, string(again.response.Body), string(first.response.Body), "answer to the repeated request")
				requireEqual(t, len(s.check()), 0, "violations")
			})
		})
	}
}

// A request that is repeated before the record is written again runs the action a second time. The platform alone could prevent it, so that
// it must at least be known.
func TestActionSentAgainAfterRestoreIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(2, newLedger, func(string, int, int) fault { return faultNone })
		older := s.memory.Copy()
		s.send(0, testBody, longWait)
		synctest.Wait()
		s.memory.Restore(older)
		s.send(1, testBody, longWait)
		time.Sleep(confirmDelay)
		s.confirmRecords()
		requireEqual(t, len(s.service.effectsOf(testKey)), 2, "effects")
		requireEqual(t, len(s.violations), 1, "recorded violations")
	})
}

// confirmRecords lets each instance that runs confirm the records of the actions that it has sent.
func (s *simulation) confirmRecords() {
	for _, n := range s.nodes {
		ledger, ok := n.runner.(*Ledger)
		if ok && n.ctx.Err() == nil {
			ledger.ConfirmRecords(context.Background(), time.Now())
		}
	}
}
