package lrgateway

import (
	"context"
	"sync"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// sessions are the calls being served, so that those that are not allowed any more can be ended.
type sessions struct {
	mutex   sync.Mutex
	running map[*session]struct{}
}

// session is one call being served. Its key and account never change.
type session struct {
	call *Call
	end  context.CancelCauseFunc

	mutex sync.Mutex
	use   modelUse
}

// modelUse says which model and adapter a call uses. It is empty for a plain service.
type modelUse struct {
	model   string
	adapter string
}

func newSessions() *sessions {
	return &sessions{running: map[*session]struct{}{}}
}

func (s *sessions) add(call *Call, end context.CancelCauseFunc) *session {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added := &session{call: call, end: end}
	s.running[added] = struct{}{}
	return added
}

func (s *sessions) remove(removed *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, removed)
}

func (s *sessions) len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.running)
}

// endDisallowed ends the calls that the snapshot does not allow.
func (s *sessions) endDisallowed(snapshot *lrconfig.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r := range s.running {
		err := r.check(snapshot)
		if err != nil {
			r.end(err)
		}
	}
}

// endAll ends every call with the error.
func (s *sessions) endAll(failure *lrerror.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r := range s.running {
		r.end(failure)
	}
}

func (s *session) setUse(use modelUse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.use = use
}

// check returns the reason why the snapshot does not allow the call.
func (s *session) check(snapshot *lrconfig.Snapshot) error {
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
