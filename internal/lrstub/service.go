package lrstub

import (
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// An Effect is one request that a service stand-in has carried out.
type Effect struct {
	IdempotencyKey string `json:"idempotencyKey"`
	Path           string `json:"path"`
	Body           string `json:"body"`
}

type service struct {
	faults faultBox
	mutex  sync.Mutex
	ledger []Effect
	seen   []http.Header
}

// NewService returns a stand-in for a plain service. It carries out whatever it gets, however often.
func NewService() http.Handler {
	s := &service{}
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
		writeJSON(w, s.seen)
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
	effect := Effect{IdempotencyKey: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Body: string(body)}
	s.mutex.Lock()
	s.seen = append(s.seen, r.Header.Clone())
	if r.Method != http.MethodGet {
		s.ledger = append(s.ledger, effect)
	}
	count := len(s.ledger)
	s.mutex.Unlock()
	if s.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct {
		Path   string `json:"path"`
		Ledger int    `json:"ledger"`
	}{r.URL.Path, count})
}
