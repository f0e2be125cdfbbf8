package lrstub

import (
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

type kvStore struct {
	faults faultState
	mutex  sync.Mutex
	blocks map[string][]byte
}

// NewKVStore returns a stand-in for the store to which engines export their key/value cache.
func NewKVStore() http.Handler {
	k := &kvStore{blocks: map[string][]byte{}}
	router := mux.NewRouter()
	router.Handle("/control/faults", &k.faults).Methods(http.MethodPut)
	api := router.PathPrefix("/").Subrouter()
	api.Use(k.faults.wrap)
	api.HandleFunc("/kv/{piece}", k.put).Methods(http.MethodPut)
	api.HandleFunc("/kv/{piece}", k.get).Methods(http.MethodGet, http.MethodHead)
	return router
}

func (k *kvStore) put(_ http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.blocks[mux.Vars(r)["piece"]] = value
}

func (k *kvStore) get(w http.ResponseWriter, r *http.Request) {
	k.mutex.Lock()
	value, ok := k.blocks[mux.Vars(r)["piece"]]
	k.mutex.Unlock()
	if !ok {
		http.Error(w, "no such piece", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}
