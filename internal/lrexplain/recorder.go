// Package lrexplain remembers how the latest requests were served, for operators who ask why.
package lrexplain

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// An Explanation tells how one request was served.
type Explanation struct {
	RequestID    string             `json:"requestId"`
	Account      string             `json:"account"`
	Route        string             `json:"route"`
	Model        string             `json:"model,omitempty"`
	ReceivedAt   time.Time          `json:"receivedAt"`
	PromptTokens int                `json:"promptTokens"`
	OutputTokens int                `json:"outputTokens"`
	Queued       time.Duration      `json:"queued"`
	Duration     time.Duration      `json:"duration"`
	Attempts     []lrstream.Attempt `json:"attempts"`
	Outcome      lrerror.Outcome    `json:"outcome"`
	Error        string             `json:"error,omitempty"`
}

// A Recorder keeps the latest explanations in a fixed amount of room.
type Recorder struct {
	mutex sync.Mutex
	order []string
	next  int
	byID  map[string]Explanation
}

// NewRecorder returns a Recorder with room for capacity explanations.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{order: make([]string, capacity), byID: make(map[string]Explanation, capacity)}
}

// Record keeps the explanation in the place of the oldest one.
func (r *Recorder) Record(e Explanation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.byID, r.order[r.next])
	r.order[r.next] = e.RequestID
	r.byID[e.RequestID] = e
	r.next = (r.next + 1) % len(r.order)
}

// Find returns the explanation of the request and reports whether it is still kept.
func (r *Recorder) Find(requestID string) (Explanation, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[requestID]
	return e, ok
}

// All returns the explanations that are still kept, in no order.
func (r *Recorder) All() []Explanation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Collect(maps.Values(r.byID))
}
