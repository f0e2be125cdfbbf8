package lrstub

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/gorilla/mux"
)

// An Effect is one request that a service stand-in has executed.
type Effect struct {
	IdempotencyKey string `json:"idempotencyKey"`
	Path           string `json:"path"`
	Body           string `json:"body"`
	// RequestID is the identifier that the router gave the request.
	RequestID string `json:"requestId"`
	// Answer is the body of the answer.
	Answer string `json:"answer"`
}

type service struct {
	faults  faultState
	mutex   sync.Mutex
	ledger  []Effect
	headers []http.Header
	// closed holds the requests that were reported as not run. They are refused from then on, so that the report stays true.
	closed map[requestIdentity]bool
}

type requestIdentity struct{ idempotencyKey, requestID string }

// OutcomesPath is the end of the path at which the stand-in reports the outcome of a request.
const OutcomesPath = "/outcomes"

// NewService returns a stand-in for a plain service. It executes every request it receives, duplicates included.
func NewService() http.Handler {
	s := &service{closed: map[requestIdentity]bool{}}
	router := mux.NewRouter()
	router.Handle("/control/faults", &s.faults).Methods(http.MethodPut)
	router.HandleFunc("/control/ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		writeJSON(w, s.ledger)
	})
	router.HandleFunc("/control/headers", func(w http.ResponseWriter, _ *http.Request) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		writeJSON(w, s.headers)
	})
	api := router.PathPrefix("/").Subrouter()
	api.Use(s.faults.wrap)
	api.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	effect := Effect{
		IdempotencyKey: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Body: string(body), RequestID: r.Header.Get("X-Request-Id"),
	}
	status, answer := s.execute(r, effect)
	if s.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// execute runs the request and returns its status and answer. A request of an outcome isn't executed.
func (s *service) execute(r *http.Request, effect Effect) (int, string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.headers = append(s.headers, r.Header.Clone())
	identity := requestIdentity{effect.IdempotencyKey, effect.RequestID}
	if strings.HasSuffix(r.URL.Path, OutcomesPath) {
		return s.outcome(identity)
	}
	if s.closed[identity] {
		return http.StatusGone, ""
	}
	if r.Method != http.MethodGet {
		effect.Answer = fmt.Sprintf(`{"path":%q,"ledger":%d}`, r.URL.Path, len(s.ledger)+1)
		s.ledger = append(s.ledger, effect)
		return http.StatusOK, effect.Answer
	}
	return http.StatusOK, fmt.Sprintf(`{"path":%q,"ledger":%d}`, r.URL.Path, len(s.ledger))
}

// outcome returns the answer of a request that has run. A request that has not run is closed.
func (s *service) outcome(identity requestIdentity) (int, string) {
	for _, e := range s.ledger {
		if e.IdempotencyKey == identity.idempotencyKey && e.RequestID == identity.requestID {
			return http.StatusOK, e.Answer
		}
	}
	s.closed[identity] = true
	return http.StatusGone, ""
}
