package lrgateway

import (
	"context"
	"sync"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
)

// sessions are the calls being served, so that those of a withdrawn key can be ended.
type sessions struct {
	mutex   sync.Mutex
	running map[*session]struct{}
}

type session struct {
	call *Call
	end  context.CancelCauseFunc
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

func (s *sessions) endDisallowed(snapshot *lrconfig.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for r := range s.running {
		if r.call.Key.ID() == "" {
			continue
		}
		record, ok := snapshot.Key(r.call.Key.ID())
		if !ok || record.Withdrawn() {
			r.end(unauthenticated())
		}
	}
}
