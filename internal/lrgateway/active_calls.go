package lrgateway

import (
	"context"
	"sync"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// activeCalls is the set of calls being served. It allows canceling those that the configuration no longer allows.
type activeCalls struct {
	mutex   sync.Mutex
	running map[*activeCall]struct{}
}

// activeCall is one call being served. Its key and client account never change.
type activeCall struct {
	call   *Call
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	use   modelUse
}

// modelUse names the model and adapter that a call uses. It is empty for a plain service.
type modelUse struct {
	model   string
	adapter string
}

func newActiveCalls() *activeCalls {
	return &activeCalls{running: map[*activeCall]struct{}{}}
}

func (s *activeCalls) add(call *Call, cancel context.CancelCauseFunc) *activeCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added := &activeCall{call: call, cancel: cancel}
	s.running[added] = struct{}{}
	return added
}

func (s *activeCalls) remove(removed *activeCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, removed)
}

func (s *activeCalls) len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running)
}

// cancelDisallowed cancels the calls that the snapshot does not allow, each with the reason as its cause.
func (s *activeCalls) cancelDisallowed(snapshot *lrconfig.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r := range s.running {
		err := r.check(snapshot)
		if err != nil {
			r.cancel(err)
		}
	}
}

// cancelAll cancels every call with the error as its cause.
func (s *activeCalls) cancelAll(failure *lrerror.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r := range s.running {
		r.cancel(failure)
	}
}

func (s *activeCall) setUse(use modelUse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.use = use
}

// check returns an error if the snapshot does not allow the call. A call without a key is always allowed.
func (s *activeCall) check(snapshot *lrconfig.Snapshot) error {
	if s.call.Key.ID() == "" {
		return nil
	}
	record, ok := snapshot.Key(s.call.Key.ID())
	if !ok || record.Withdrawn() || record.Account != s.call.Account.Name {
		return unauthenticated()
	}
	_, plan, err := findPlan(snapshot, record.Account)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	use := s.use
	s.mutex.Unlock()
	if use.model == "" {
		return nil
	}
	_, err = allowedModel(snapshot, plan, use)
	return err
}
