package lrledger

import (
	"context"
	"fmt"
	"slices"
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

// TestActionIsSentOnceThoughItsRecordIsLost guards against paid actions that run twice: the platform comes back from a copy that lacks the
// record of an action, or has an earlier one, and its caller repeats the request at another instance, before the one that has sent the action
// has written the record again.
func TestActionIsSentOnceThoughItsRecordIsLost(t *testing.T) {
	const claiming, dispatching, sending, answering = 1, 2, 3, 4
	for _, c := range []struct {
		name string
		// copyAt and restoreAt are the calls of the first instance before which the copy is taken and the platform comes back from it.
		copyAt, restoreAt int
		// sendFault is the fault of the call to the service.
		sendFault fault
		// restarts says that the instance at which the request is repeated has just started.
		restarts bool
	}{
		{name: "no record", copyAt: claiming, restoreAt: answering + 1},
		{name: "claimed", copyAt: dispatching, restoreAt: answering + 1},
		{name: "dispatched", copyAt: sending, restoreAt: answering + 1},
		{name: "before the answer is recorded", copyAt: claiming, restoreAt: answering},
		{name: "before the action is sent", copyAt: claiming, restoreAt: sending},
		{name: "while the action is sent", copyAt: claiming, restoreAt: sending, sendFault: faultLate},
		{name: "not sent after all", copyAt: claiming, restoreAt: sending, sendFault: faultRefused},
		{name: "instance restarts", copyAt: claiming, restoreAt: answering + 1, restarts: true},
	} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, time.Second, 4 * time.Second, confirmDelay - time.Second} {
			t.Run(fmt.Sprint(c.name, ", repeated after ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var older lrplatform.MemoryCopy
					var s *simulation
					s = newSimulation(2, newLedger, func(node string, call, _ int) fault {
						if node != "router-0" {
							return faultNone
						}
						switch call {
						case c.copyAt:
							older = s.memory.Copy()
						case c.restoreAt:
							s.memory.Restore(older)
						}
						if call == sending {
							return c.sendFault
						}
						return faultNone
					})
					s.memory.NameEras()
					s.confirmRecords()
					stop := s.confirmEachSecond()
					s.runLater(0, func() { s.send(0, testBody, longWait) })
					synctest.Wait()
					if c.restoreAt > answering {
						s.memory.Restore(older)
					}
					if c.restarts {
						s.nodes[1].kill()
					}
					time.Sleep(delay)
					s.send(1, testBody, longWait)
					s.waitForPending()
					stop()
					requireEqual(t, len(s.service.effectsOf(testKey)), 1, "effects")
					requireEqual(t, fmt.Sprint(s.check()), "[]", "violations")
				})
			})
		}
	}
}

// confirmEachSecond lets the instances confirm their records each second, until the returned function is called.
func (s *simulation) confirmEachSecond() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(time.Second):
				s.confirmRecords()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// confirmRecords lets each instance that runs confirm the records of the actions that it has sent.
func (s *simulation) confirmRecords() {
	s.mutex.Lock()
	nodes := slices.Clone(s.nodes)
	s.mutex.Unlock()
	for _, n := range nodes {
		ledger, ok := n.runner.(*Ledger)
		if ok && n.ctx.Err() == nil {
			ledger.ConfirmRecords(context.Background(), time.Now())
		}
	}
}
