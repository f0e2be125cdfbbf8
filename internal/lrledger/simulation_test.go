package lrledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpaid"
)

type paidRunner = lrgateway.PaidRunner

const (
	testAccount = "north-school"
	testKey     = "award-4711"
	testBody    = `{"amount":100}`
)

// script returns the fault of a call, given the node, the number of the call on that node and its number over all nodes.
type script func(node string, nodeCall, totalCall int) fault

// simulation is a deployment in one run: a platform, a service and the instances that use them.
type simulation struct {
	memory     *lrplatform.Memory
	service    *service
	route      lrconfig.Route
	newPaid    func(*node) paidRunner
	script     script
	mutex      sync.Mutex
	calls      int
	callsOf    map[string]int
	writes     int
	requests   int
	nodes      []*node
	pending    atomic.Int64
	answers    []answer
	violations []string
}

// answer is what a caller received, with the number of effects in the service at that moment.
type answer struct {
	requestID string
	body      string
	response  lrservice.Response
	err       error
	aborted   bool
	effects   int
}

func newSimulation(nodes int, newPaid func(*node) paidRunner, faults script) *simulation {
	s := &simulation{
		memory: lrplatform.NewMemory(), service: &service{reportedNotRun: map[string]bool{}},
		route:   lrconfig.Route{Name: "disburse", Path: "/disbursements", Service: "disbursement", Paid: true},
		newPaid: newPaid, script: faults, callsOf: map[string]int{},
	}
	for n := range nodes {
		s.nodes = append(s.nodes, s.newNode(fmt.Sprintf("router-%d", n)))
	}
	return s
}

func newLedger(n *node) paidRunner {
	return New(Dependencies{
		Store: &faultyStore{n.simulation.memory, n}, Services: &faultyClient{n}, Servers: servers{n.name}, Log: zerolog.Nop(),
		Clock: time.Now, RecordViolation: n.simulation.violated,
	}, DefaultOptions(n.name, 30*time.Second))
}

func (s *simulation) newNode(name string) *node {
	n := &node{simulation: s, name: name}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.runner = s.newPaid(n)
	return n
}

// servers lists both backend servers of the service. Every second instance prefers the other one.
type servers struct{ node string }

func (s servers) Services(string) []lrplatform.Instance {
	both := []lrplatform.Instance{{Name: "service-a", Address: "10.0.0.1:80"}, {Name: "service-b", Address: "10.0.0.2:80"}}
	if s.node == "router-1" {
		slices.Reverse(both)
	}
	return both
}

// nextFault returns the fault for the next call of the node. It counts calls for each node and over all nodes.
func (s *simulation) nextFault(n *node) fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	s.callsOf[n.name]++
	return s.script(n.name, s.callsOf[n.name], s.calls)
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.script = func(string, int, int) fault { return faultNone }
}

func (s *simulation) countWrite() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
}

func (s *simulation) runLater(delay time.Duration, call func()) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Add(-1)
		time.Sleep(delay)
		call()
	}()
}

// waitForPending waits until all calls of runLater have ended. Nodes with a long freeze may still be frozen then.
func (s *simulation) waitForPending() {
	time.Sleep(longWait)
	for s.pending.Load() > 0 {
		time.Sleep(longWait)
	}
}

func (s *simulation) violated(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, what)
}

// send sends the action through the node and records the answer. A killed node is first replaced by a new one. When the node
// is killed during the request, the answer is marked as aborted.
func (s *simulation) send(index int, body string, timeout time.Duration) answer {
	s.mutex.Lock()
	n := s.nodes[index]
	if n.ctx.Err() != nil {
		n = s.newNode(n.name)
		s.nodes[index] = n
	}
	s.requests++
	id := fmt.Sprintf("request-%d", s.requests)
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	header := http.Header{}
	header.Set(lrgateway.HeaderIdempotencyKey, testKey)
	header.Set(lrgateway.HeaderRequestID, id)
	response, err := n.runner.Run(ctx, time.Now(), lrgateway.PaidRequest{
		RequestID: id, Account: testAccount, Route: s.route, IdempotencyKey: testKey,
		Request: lrservice.Request{Method: http.MethodPost, Path: "/disbursements", Header: header, Body: []byte(body)},
	})
	got := answer{requestID: id, body: body, response: response, err: err, aborted: n.ctx.Err() != nil, effects: len(s.service.effectsOf(testKey))}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answers = append(s.answers, got)
	return got
}

// check compares every answer and the record with the effects in the service. It returns what does not match.
func (s *simulation) check() []string {
	effects := s.service.effectsOf(testKey)
	violations := slices.Clone(s.violations)
	if len(effects) > 1 {
		violations = append(violations, fmt.Sprintf("%d effects", len(effects)))
	}
	for _, a := range s.answers {
		if !a.aborted {
			violations = append(violations, a.mismatches(effects)...)
		}
	}
	return append(violations, s.checkRecord(effects)...)
}

func (a answer) mismatches(effects []effect) []string {
	if a.err == nil {
		ran := slices.ContainsFunc(effects, func(e effect) bool { return e.answer == string(a.response.Body) && e.body == a.body })
		if !ran && a.response.Status != http.StatusGone {
			return []string{fmt.Sprintf("%s was told %q, which no effect matches", a.requestID, a.response.Body)}
		}
		return nil
	}
	failure := lrerror.From(a.err)
	ran := slices.ContainsFunc(effects, func(e effect) bool { return e.requestID == a.requestID })
	switch {
	case failure.Outcome() == lrerror.NotRun && ran:
		return []string{a.requestID + " was told notRun and has run: " + a.err.Error()}
	case failure.Outcome() == lrerror.NotRun && a.effects > 0 && isAboutKey(failure):
		return []string{a.requestID + " was told notRun after the action had run: " + a.err.Error()}
	case failure.Outcome() == lrerror.Ran && a.effects == 0:
		return []string{a.requestID + " was told ran before the action had run: " + a.err.Error()}
	}
	return nil
}

// isAboutKey reports whether the refusal is based on the record and so applies to every request with the key.
func isAboutKey(failure *lrerror.Error) bool {
	return failure.Kind() == lrerror.KindConflict || (failure.Kind() == lrerror.KindUnavailable && lrservice.ErrNotSent.Has(errors.Unwrap(failure)))
}

func (s *simulation) checkRecord(effects []effect) []string {
	current, err := read(context.Background(), s.memory, lrpaid.RecordName(testAccount, testKey))
	if lrplatform.ErrNotFound.Has(err) {
		current, err = stored{}, nil
	}
	if err != nil {
		return []string{err.Error()}
	}
	record := current.record
	ran := len(effects) > 0
	switch {
	case ran && record.State != lrpaid.StateDispatched && !record.State.Settled():
		return []string{fmt.Sprintf("the action has run and its record says %q", record.State)}
	case !ran && record.State == lrpaid.StateDone && record.Answer.Status == http.StatusOK:
		return []string{"the action has not run and its record says done"}
	case record.Resolution != nil && (record.Resolution.Outcome == lrpaid.ResolvedDone) != ran:
		return []string{"the action is resolved wrongly"}
	}
	return nil
}
