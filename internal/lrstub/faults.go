package lrstub

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures that a stand-in shows until they are replaced.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay holds back every answer.
	Delay time.Duration `json:"delay"`
	// LoseReplies is the number of writes that take effect without an answer.
	LoseReplies int `json:"loseReplies"`
	// FrozenUntil stops all work until then.
	FrozenUntil time.Time `json:"frozenUntil"`
	// CrashAfterTokens crashes an engine when a stream has delivered that many tokens.
	CrashAfterTokens int `json:"crashAfterTokens"`
	// CrashOn crashes an engine that gets a prompt with this text.
	CrashOn string `json:"crashOn"`
	// CrossAnswers labels events with a wrong request identifier.
	CrossAnswers bool `json:"crossAnswers"`
	// SkipEvents leaves out one token of each stream.
	SkipEvents bool `json:"skipEvents"`
	// LoseCacheEvents leaves a gap in the cache events.
	LoseCacheEvents bool `json:"loseCacheEvents"`
	// LoadLag is how old a load report is.
	LoadLag time.Duration `json:"loadLag"`
}

// faultBox holds the faults in force.
type faultBox struct {
	mutex  sync.Mutex
	faults Faults
}

func (b *faultBox) get() Faults {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.faults
}

func (b *faultBox) set(f Faults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = f
}

// takeLostReply reports whether the answer to this write shall be lost.
func (b *faultBox) takeLostReply() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.faults.LoseReplies <= 0 {
		return false
	}
	b.faults.LoseReplies--
	return true
}

// ServeHTTP replaces the faults by those in the body.
func (b *faultBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(r.Body).Decode(&f)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.set(f)
}

// wrap applies the faults that concern every call.
func (b *faultBox) wrap(next http.Handler) http.Handler {
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

// sleep reports whether the caller was still there at the end.
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
