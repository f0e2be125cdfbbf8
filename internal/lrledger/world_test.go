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

// script chooses the fault of a call by the node, the number of its call and the number of the call in the whole world.
type script func(node string, nodeCall, worldCall int) fault

// world is a deployment inside one run: a platform, a service and instances in front of them.
type world struct {
	memory   *lrplatform.Memory
	service  *service
	route    lrconfig.Route
	newPaid  func(*node) paidRunner
	script   script
	mutex    sync.Mutex
	calls    int
	callsOf  map[string]int
	writes   int
	requests int
	nodes    []*node
	pending  atomic.Int64
	answers  []answer
	broken   []string
}

// answer is what a caller got, and what the service's ledger showed at that moment.
type answer struct {
	requestID string
	body      string
	response  lrservice.Response
	err       error
	cut       bool
	effects   int
}

func newWorld(nodes int, newPaid func(*node) paidRunner, faults script) *world {
	w := &world{
		memory: lrplatform.NewMemory(), service: &service{closed: map[string]bool{}},
		route:   lrconfig.Route{Name: "disburse", Path: "/disbursements", Service: "disbursement", Paid: true},
		newPaid: newPaid, script: faults, callsOf: map[string]int{},
	}
	for n := range nodes {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("router-%d", n)))
	}
	return w
}

func newLedger(n *node) paidRunner {
	return New(Parts{
		Store: &faultyStore{n.world.memory, n}, Services: &faultyClient{n}, Servers: servers{n.name}, Log: zerolog.Nop(),
		Clock: time.Now, Violated: n.world.violated,
	}, DefaultOptions(n.name, 30*time.Second))
}

func (w *world) newNode(name string) *node {
	n := &node{world: w, name: name}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.runner = w.newPaid(n)
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

// nextFault returns the fault for the next call of the node. Calls are counted for the node and for the whole world.
func (w *world) nextFault(n *node) fault {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls++
	w.callsOf[n.name]++
	return w.script(n.name, w.callsOf[n.name], w.calls)
}

// heal ends all faults.
func (w *world) heal() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.script = func(string, int, int) fault { return faultNone }
}

func (w *world) countWrite() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writes++
}

func (w *world) later(delay time.Duration, call func()) {
	w.pending.Add(1)
	go func() {
		defer w.pending.Add(-1)
		time.Sleep(delay)
		call()
	}()
}

// rest waits until nothing is left to happen later, but for nodes that are frozen long.
func (w *world) rest() {
	time.Sleep(longWait)
	for w.pending.Load() > 0 {
		time.Sleep(longWait)
	}
}

func (w *world) violated(what string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken = append(w.broken, what)
}

// send sends the action through the node and keeps the answer. A dead node's caller sees a cut connection and is
// answered by its successor when it sends again.
func (w *world) send(index int, body string, patience time.Duration) answer {
	w.mutex.Lock()
	n := w.nodes[index]
	if n.ctx.Err() != nil {
		n = w.newNode(n.name)
		w.nodes[index] = n
	}
	w.requests++
	id := fmt.Sprintf("request-%d", w.requests)
	w.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, patience)
	defer cancel()
	header := http.Header{}
	header.Set(lrgateway.HeaderIdempotencyKey, testKey)
	header.Set(lrgateway.HeaderRequestID, id)
	response, err := n.runner.Run(ctx, time.Now(), lrgateway.PaidRequest{
		RequestID: id, Account: testAccount, Route: w.route, IdempotencyKey: testKey,
		Request: lrservice.Request{Method: http.MethodPost, Path: "/disbursements", Header: header, Body: []byte(body)},
	})
	got := answer{requestID: id, body: body, response: response, err: err, cut: n.ctx.Err() != nil, effects: len(w.service.of(testKey))}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answers = append(w.answers, got)
	return got
}

// check compares every answer and the record with the service's ledger. It returns what does not agree.
func (w *world) check() []string {
	effects := w.service.of(testKey)
	broken := slices.Clone(w.broken)
	if len(effects) > 1 {
		broken = append(broken, fmt.Sprintf("%d effects", len(effects)))
	}
	for _, a := range w.answers {
		if !a.cut {
			broken = append(broken, a.disagreements(effects)...)
		}
	}
	return append(broken, w.checkRecord(effects)...)
}

func (a answer) disagreements(effects []effect) []string {
	if a.err == nil {
		ran := slices.ContainsFunc(effects, func(e effect) bool { return e.answer == string(a.response.Body) && e.body == a.body })
		if !ran && a.response.Status != http.StatusGone {
			return []string{fmt.Sprintf("%s was told %q, which the ledger does not show", a.requestID, a.response.Body)}
		}
		return nil
	}
	failure := lrerror.From(a.err)
	ran := slices.ContainsFunc(effects, func(e effect) bool { return e.requestID == a.requestID })
	switch {
	case failure.Outcome() == lrerror.NotRun && ran:
		return []string{a.requestID + " was told notRun and has run: " + a.err.Error()}
	case failure.Outcome() == lrerror.NotRun && a.effects > 0 && speaksForKey(failure):
		return []string{a.requestID + " was told notRun after the action had run: " + a.err.Error()}
	case failure.Outcome() == lrerror.Ran && a.effects == 0:
		return []string{a.requestID + " was told ran before the action had run: " + a.err.Error()}
	}
	return nil
}

// speaksForKey reports whether the refusal rests on the record, and so speaks of every request with the key.
func speaksForKey(failure *lrerror.Error) bool {
	return failure.Kind() == lrerror.KindConflict || (failure.Kind() == lrerror.KindUnavailable && lrservice.ErrNotSent.Has(errors.Unwrap(failure)))
}

func (w *world) checkRecord(effects []effect) []string {
	current, err := read(context.Background(), w.memory, lrpaid.Name(testAccount, testKey))
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
