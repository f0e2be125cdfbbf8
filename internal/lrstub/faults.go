package lrstub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults injected into a stand-in until they are replaced.
type Faults struct {
	// Down aborts every call without an answer.
	Down bool `json:"down"`
	// Delay delays every call.
	Delay time.Duration `json:"delay"`
	// LoseReplies is the number of next platform writes or service calls that take effect without an answer.
	LoseReplies int `json:"loseReplies"`
	// FrozenUntil suspends all work until then.
	FrozenUntil time.Time `json:"frozenUntil"`
	// CrashAfterTokens crashes an engine when a stream has delivered that many tokens.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// CrashOn crashes an engine that receives a prompt with this text.
	CrashOn string `json:"crashOn"`
	// CrossAnswers labels events with a wrong request identifier.
	CrossAnswers bool `json:"crossAnswers"`
	// SkipEvents omits the second token of each stream.
	SkipEvents bool `json:"skipEvents"`
	// LoseCacheEvents leaves a gap in the cache events.
	LoseCacheEvents bool `json:"loseCacheEvents"`
	// LoadLag is the maximum age of a load report: a report is repeated until then.
	LoadLag time.Duration `json:"loadLag"`
}

// faultState holds the active faults.
type faultState struct {
	mutex  sync.Mutex
	faults Faults
}

func (b *faultState) get() Faults {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.faults
}

func (b *faultState) set(f Faults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = f
}

// takeLostReply reports whether the answer to this write is to be dropped, and counts it.
func (b *faultState) takeLostReply() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.faults.LoseReplies <= 0 {
		return false
	}
	b.faults.LoseReplies--
	return true
}

// ServeHTTP replaces the faults by those in the body.
func (b *faultState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(r.Body).Decode(&f)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.set(f)
}

// wrap returns a handler that applies the faults common to all calls.
func (b *faultState) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := b.get()
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		wait := max(f.Delay, time.Until(f.FrozenUntil))
		if wait > 0 && !sleep(r, wait) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits and reports whether the caller is still connected at the end.
func sleep(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
