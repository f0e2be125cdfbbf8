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

// fault is what goes wrong at one call of an instance to the platform or a service.
type fault int

const (
	faultNone fault = iota
	// faultRefused means that the call was provably not taken.
	faultRefused
	faultLostRequest
	faultLostReply
	// faultLate means that the call takes effect long after its caller has given it up.
	faultLate
	faultKillBefore
	faultKillAfter
	faultFreezeBefore
	faultFreezeAfter
	// faultFreezeLong stops the node after a call to the platform for longer than any attempt may last.
	faultFreezeLong
	faultCount
)

const (
	lateBy     = 12 * time.Second
	frozenFor  = 15 * time.Second
	frozenLong = 5 * time.Minute
)

// node is one instance of the daemon, which may freeze and die.
type node struct {
	world       *world
	name        string
	mutex       sync.Mutex
	frozenUntil time.Time
	ctx         context.Context
	kill        context.CancelFunc
	runner      paidRunner
}

// hold returns when the node runs, and ends the goroutine when the node is dead.
func (n *node) hold() {
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

// meet makes a call with the fault that the script has for it. The node checks before when nothing can hold it up any
// more until the call has left.
func meet[T any](n *node, refused, unknown func(string, ...any) error, before func() error, call func() (T, error)) (T, error) {
	var zero T
	n.hold()
	f := n.world.nextFault(n)
	if f == faultFreezeBefore {
		n.freeze(frozenFor)
		n.hold()
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
		n.world.later(lateBy, func() { _, _ = call() })
		time.Sleep(2 * time.Second)
		n.hold()
		return zero, unknown("timed out")
	}
	result, err := call()
	switch f {
	case faultLostReply:
		return zero, unknown("reply lost by the test")
	case faultKillAfter:
		n.die()
	case faultFreezeAfter:
		n.freeze(frozenFor)
	case faultFreezeLong:
		n.freeze(frozenLong)
	}
	n.hold()
	return result, err
}

func always() error { return nil }

// faultyStore is a node's way to the platform.
type faultyStore struct {
	lrplatform.Store
	node *node
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (lrplatform.Object, error) {
	unavailable := lrplatform.ErrUnavailable.New
	return meet(s.node, unavailable, unavailable, always, func() (lrplatform.Object, error) { return s.Store.Get(ctx, kind, name) })
}

func (s *faultyStore) Create(ctx context.Context, kind, name string, value []byte) (lrplatform.Object, error) {
	return meet(s.node, lrplatform.ErrUnavailable.New, lrplatform.ErrUnknown.New, always, func() (lrplatform.Object, error) {
		s.node.world.countWrite()
		return s.Store.Create(ctx, kind, name, value)
	})
}

func (s *faultyStore) Update(ctx context.Context, object lrplatform.Object) (lrplatform.Object, error) {
	return meet(s.node, lrplatform.ErrUnavailable.New, lrplatform.ErrUnknown.New, always, func() (lrplatform.Object, error) {
		s.node.world.countWrite()
		return s.Store.Update(ctx, object)
	})
}

// faultyClient is a node's way to the service.
type faultyClient struct {
	node *node
}

func (c *faultyClient) Call(_ context.Context, address string, request lrservice.Request) (lrservice.Response, error) {
	punctual := func() error {
		if !request.SendBefore.IsZero() && !time.Now().Before(request.SendBefore) {
			return lrservice.ErrNotSent.New("late")
		}
		return nil
	}
	return meet(c.node, lrservice.ErrNotSent.New, lrservice.ErrUnknown.New, punctual, func() (lrservice.Response, error) {
		return c.node.world.service.serve(address, request), nil
	})
}

// effect is one line of the service's own ledger.
type effect struct {
	server, key, requestID, body, answer string
}

// service is an application on two backend servers, each with a ledger of its own. It carries out whatever it gets,
// however often. A server refuses for good what it has told not to have run.
type service struct {
	mutex   sync.Mutex
	effects []effect
	closed  map[string]bool
}

func (s *service) serve(server string, request lrservice.Request) lrservice.Response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key, id := request.Header.Get("Idempotency-Key"), request.Header.Get("X-Request-Id")
	if request.Method == http.MethodGet {
		return s.tell(server, key, id)
	}
	if s.closed[server+key+id] {
		return lrservice.Response{Status: http.StatusGone}
	}
	answer := fmt.Sprintf("effect %d of %s by %s", len(s.effects)+1, key, id)
	s.effects = append(s.effects, effect{server, key, id, string(request.Body), answer})
	return lrservice.Response{Status: http.StatusOK, Body: []byte(answer)}
}

func (s *service) tell(server, key, id string) lrservice.Response {
	for _, e := range s.effects {
		if e.server == server && e.key == key && e.requestID == id {
			return lrservice.Response{Status: http.StatusOK, Body: []byte(e.answer)}
		}
	}
	s.closed[server+key+id] = true
	return lrservice.Response{Status: http.StatusGone}
}

func (s *service) of(key string) []effect {
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
