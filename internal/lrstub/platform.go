package lrstub

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

const defaultWatchWait = 30 * time.Second

// platform serves an in-memory object store over HTTP.
type platform struct {
	memory *lrplatform.Memory
	faults faultState
	reads  atomic.Uint64
	writes atomic.Uint64
	// copied is the copy from which the store comes back.
	copied atomic.Pointer[lrplatform.MemoryCopy]
}

// Counts are the numbers of calls that a platform stand-in has received.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// NewPlatform returns a stand-in for the platform's object API.
func NewPlatform() http.Handler {
	p := &platform{memory: lrplatform.NewMemory()}
	p.memory.NameEras()
	router := mux.NewRouter()
	router.UseEncodedPath()
	router.Handle("/control/faults", &p.faults).Methods(http.MethodPut)
	router.HandleFunc("/control/instances", p.setInstances).Methods(http.MethodPut)
	router.HandleFunc("/control/copy", p.copyStore).Methods(http.MethodPut)
	router.HandleFunc("/control/restore", p.restoreStore).Methods(http.MethodPut)
	router.HandleFunc("/control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, Counts{Reads: p.reads.Load(), Writes: p.writes.Load()})
	})
	api := router.PathPrefix("/").Subrouter()
	api.Use(p.faults.wrap, p.nameEra)
	api.HandleFunc("/instances", p.listInstances).Methods(http.MethodGet)
	api.HandleFunc("/watch/{kind}", p.watch).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}", p.list).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", p.get).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", p.write).Methods(http.MethodPost, http.MethodPut, http.MethodDelete)
	return router
}

// copyStore takes the copy from which restoreStore brings the store back.
func (p *platform) copyStore(http.ResponseWriter, *http.Request) {
	content := p.memory.Copy()
	p.copied.Store(&content)
}

// restoreStore brings the store back from the copy, in the next era.
func (p *platform) restoreStore(w http.ResponseWriter, _ *http.Request) {
	content := p.copied.Load()
	if content == nil {
		http.Error(w, "there is no copy; take one first", http.StatusConflict)
		return
	}
	p.memory.Restore(*content)
}

// nameEra names the era of the store in each answer.
func (p *platform) nameEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(lrplatform.EraHeader, strconv.FormatUint(p.memory.Era(), 10))
		next.ServeHTTP(w, r)
	})
}

func (p *platform) setInstances(w http.ResponseWriter, r *http.Request) {
	var instances []lrplatform.Instance
	err := json.NewDecoder(r.Body).Decode(&instances)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.memory.SetInstances(instances)
}

func (p *platform) listInstances(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	instances, err := p.memory.Instances(r.Context())
	answer(w, instances, err)
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	object, err := p.memory.Get(r.Context(), mux.Vars(r)["kind"], mux.Vars(r)["name"])
	answer(w, object, err)
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	objects, err := p.memory.List(r.Context(), mux.Vars(r)["kind"], r.URL.Query().Get("prefix"))
	answer(w, objects, err)
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait := defaultWatchWait
	seconds, err := strconv.Atoi(r.URL.Query().Get(lrplatform.WatchSecondsParameter))
	if err == nil {
		wait = time.Duration(seconds) * time.Second
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	changes, err := p.memory.Watch(ctx, mux.Vars(r)["kind"], after)
	if ctx.Err() != nil {
		err = nil
	}
	if p.faults.get().Down {
		panic(http.ErrAbortHandler)
	}
	answer(w, changes, err)
}

func (p *platform) write(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lrplatform.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	object := lrplatform.Object{Kind: mux.Vars(r)["kind"], Name: mux.Vars(r)["name"], Version: version, Value: value}
	switch r.Method {
	case http.MethodPost:
		object, err = p.memory.Create(r.Context(), object.Kind, object.Name, value)
	case http.MethodPut:
		object, err = p.memory.Update(r.Context(), object)
	default:
		err = p.memory.Delete(r.Context(), object)
	}
	if p.faults.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	answer(w, object, err)
}

func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		writeJSON(w, body)
	case lrplatform.ErrNotFound.Has(err):
		http.Error(w, err.Error(), http.StatusNotFound)
	case lrplatform.ErrConflict.Has(err):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
