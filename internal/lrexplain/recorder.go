// Package lrexplain records how the latest requests were served, so that operators can look up why a request was slow or failed.
package lrexplain

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

// An Explanation describes how one request was served.
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

// A Recorder keeps a fixed number of the latest explanations.
type Recorder struct {
	mutex sync.Mutex
	// ids is a ring of request ids, in which next is the position of the oldest.
	ids  []string
	next int
	byID map[string]Explanation
}

// NewRecorder returns a Recorder that keeps up to capacity explanations.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{ids: make([]string, capacity), byID: make(map[string]Explanation, capacity)}
}

// Record stores the explanation in place of the oldest one.
func (r *Recorder) Record(e Explanation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.byID, r.ids[r.next])
	r.ids[r.next] = e.RequestID
	r.byID[e.RequestID] = e
	r.next = (r.next + 1) % len(r.ids)
}

// Find returns the explanation of the request and reports whether it is still stored.
func (r *Recorder) Find(requestID string) (Explanation, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[requestID]
	return e, ok
}

// All returns the stored explanations, in no particular order.
func (r *Recorder) All() []Explanation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Collect(maps.Values(r.byID))
}
