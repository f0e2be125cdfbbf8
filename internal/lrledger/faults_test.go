package lrledger

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrservice"
)

// fault is the failure that is injected into one call of an instance to the platform or the service.
type fault int

const (
	faultNone fault = iota
	// faultRefused makes the call fail without effect, and its caller knows that.
	faultRefused
	faultLostRequest
	faultLostReply
	// faultLate makes the call take effect long after its timeout.
	faultLate
	faultKillBefore
	faultKillAfter
	faultFreezeBefore
	faultFreezeAfter
	// faultFreezeLong freezes the node after a call for longer than any attempt may last.
	faultFreezeLong
	faultCount
)

const (
	lateDelay          = 12 * time.Second
	freezeDuration     = 15 * time.Second
	longFreezeDuration = 5 * time.Minute
)

// node is one router instance, which can be frozen or killed.
type node struct {
	simulation  *simulation
	name        string
	mutex       sync.Mutex
	frozenUntil time.Time
	ctx         context.Context
	kill        context.CancelFunc
	runner      paidRunner
}

// waitUntilRunning returns when the node is not frozen, and ends the goroutine when the node has been killed.
func (n *node) waitUntilRunning() {
	for {
		if n.ctx.Err() != nil {
			runtime.Goexit()
		}
		n.mutex.Lock()
		wait := time.Until(n.frozenUntil)
		n.mutex.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (n *node) freeze(duration time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozenUntil = time.Now().Add(duration)
}

func (n *node) die() {
	n.kill()
	runtime.Goexit()
}

// callWithFault makes a call with the fault that the script injects into it. It runs the check before the call, after any
// freeze, so that nothing delays the call once the check has passed.
func callWithFault[T any](n *node, refused, unknown func(string, ...any) error, before func() error, call func() (T, error)) (T, error) {
	var zero T
	n.waitUntilRunning()
	f := n.simulation.nextFault(n)
	if f == faultFreezeBefore {
		n.freeze(freezeDuration)
		n.waitUntilRunning()
	}
	if f == faultKillBefore {
		n.die()
	}
	err := before()
	if err != nil {
		return zero, err
	}
	switch f {
	case faultRefused:
		return zero, refused("refused by the test")
	case faultLostRequest:
		return zero, unknown("request lost by the test")
	case faultLate:
		n.simulation.runLater(lateDelay, func() { _, _ = call() })
		time.Sleep(2 * time.Second)
		n.waitUntilRunning()
		return zero, unknown("timed out")
	}
	result, err := call()
	switch f {
	case faultLostReply:
		return zero, unknown("reply lost by the test")
	case faultKillAfter:
		n.die()
	case faultFreezeAfter:
		n.freeze(freezeDuration)
	case faultFreezeLong:
		n.freeze(longFreezeDuration)
	}
	n.waitUntilRunning()
	return result, err
}

func noCheck() error { return nil }

// faultyStore is the connection of a node to the platform.
type faultyStore struct {
	lrplatform.Store
	node *node
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	unavailable := lrplatform.ErrUnavailable.New
	return callWithFault(s.node, unavailable, unavailable, noCheck, func() (lrplatform.Object, error) { return s.Store.Get(ctx, kind, name) })
}

func (s *faultyStore) Create(ctx context.Context, kind, name string, value []byte) (lrplatform.Object, error) {
	return callWithFault(s.node, lrplatform.ErrUnavailable.New, lrplatform.ErrUnknown.New, noCheck, func() (lrplatform.Object, error) {
		s.node.simulation.countWrite()
		return s.Store.Create(ctx, kind, name, value)
	})
}

func (s *faultyStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	return callWithFault(s.node, lrplatform.ErrUnavailable.New, lrplatform.ErrUnknown.New, noCheck, func() (lrplatform.Object, error) {
		s.node.simulation.countWrite()
		return s.Store.Update(ctx, object)
	})
}

// faultyClient is the connection of a node to the service.
type faultyClient struct {
	node *node
}

func (c *faultyClient) Call(_ context.Context, address string, request lrservice.Request) (lrservice.Response, error) {
	checkDeadline := func() error {
		if !request.SendBefore.IsZero() && !time.Now().Before(request.SendBefore) {
			return lrservice.ErrNotSent.New("late")
		}
		return nil
	}
	return callWithFault(c.node, lrservice.ErrNotSent.New, lrservice.ErrUnknown.New, checkDeadline, func() (lrservice.Response, error) {
		return c.node.simulation.service.serve(address, request), nil
	})
}

// effect is one execution of an action by the service, as recorded by the service itself.
type effect struct {
	server, key, requestID, body, answer string
}

// service is an application on two backend servers, each with its own record of effects. It runs every action that it
// receives, duplicates too. A server that has reported an action as not run refuses it from then on.
type service struct {
	mutex          sync.Mutex
	effects        []effect
	reportedNotRun map[string]bool
}

func (s *service) serve(server string, request lrservice.Request) lrservice.Response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key, id := request.Header.Get("Idempotency-Key"), request.Header.Get("X-Request-Id")
	if request.Method == http.MethodGet {
		return s.outcome(server, key, id)
	}
	if s.reportedNotRun[server+key+id] {
		return lrservice.Response{Status: http.StatusGone}
	}
	answer := fmt.Sprintf("effect %d of %s by %s", len(s.effects)+1, key, id)
	s.effects = append(s.effects, effect{server, key, id, string(request.Body), answer})
	return lrservice.Response{Status: http.StatusOK, Body: []byte(answer)}
}

func (s *service) outcome(server, key, id string) lrservice.Response {
	for _, e := range s.effects {
		if e.server == server && e.key == key && e.requestID == id {
			return lrservice.Response{Status: http.StatusOK, Body: []byte(e.answer)}
		}
	}
	s.reportedNotRun[server+key+id] = true
	return lrservice.Response{Status: http.StatusGone}
}

func (s *service) effectsOf(key string) []effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []effect
	for _, e := range s.effects {
		if e.key == key {
			found = append(found, e)
		}
	}
	return found
}
