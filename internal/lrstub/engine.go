package lrstub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	batchSlowdown  = 32
	weightLoadTime = 200 * time.Millisecond
	fullSpeedLoads = 2
	tokenHashBytes = 3
)

// EngineOptions describe an engine stand-in.
type EngineOptions struct {
	Name            string
	Versions        map[string]string
	CacheBlocks     int
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ImportPerToken is the time to import one cached token from a KV store.
	ImportPerToken time.Duration
	// ExportTo is the address of the KV store to which computed blocks are exported. Empty means that none are.
	ExportTo      string
	ChecksFencing bool
}

// DefaultEngineOptions returns the options of a fast engine with a cache of 80 blocks.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Name: "engine", Versions: map[string]string{}, CacheBlocks: 80,
		PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 5 * time.Millisecond, ImportPerToken: 2 * time.Microsecond,
	}
}

type engine struct {
	options  EngineOptions
	faults   faultState
	prefills prefillQueue

	mutex           sync.Mutex
	incarnation     string
	lifetime        context.Context
	endLifetime     context.CancelFunc
	cache           *blockCache
	running         map[string]context.CancelFunc
	versions        map[string]string
	adapters        map[string]bool
	highestFence    uint64
	loading         int
	reportedLoad    lrengine.Load
	reportedAt      time.Time
	startedRequests []string
	// crashes counts the crashes that a prompt has caused.
	crashes atomic.Int64
}

// NewEngine returns a stand-in for an engine. The generated text depends on the prompt alone.
func NewEngine(options EngineOptions) http.Handler {
	e := &engine{options: options}
	e.restart()
	router := mux.NewRouter()
	router.Handle("/control/faults", &e.faults).Methods(http.MethodPut)
	router.HandleFunc("/control/crash", func(http.ResponseWriter, *http.Request) { e.restart() }).Methods(http.MethodPost)
	router.HandleFunc("/control/ran", e.serveStartedRequests).Methods(http.MethodGet)
	router.HandleFunc("/control/crashes", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.crashes.Load())
	}).Methods(http.MethodGet)
	api := router.PathPrefix("/").Subrouter()
	api.Use(e.faults.wrap)
	api.HandleFunc("/v1/generate", e.generate).Methods(http.MethodPost)
	api.HandleFunc("/v1/generate/{id}", e.cancel).Methods(http.MethodDelete)
	api.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	api.HandleFunc("/events", e.serveEvents).Methods(http.MethodGet)
	api.HandleFunc("/orders", e.order).Methods(http.MethodPost)
	return router
}

// restart aborts every stream and starts a new incarnation with an empty cache.
func (e *engine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.endLifetime != nil {
		e.endLifetime()
	}
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.incarnation = uuid.NewString()
	e.cache = newBlockCache(e.options.CacheBlocks)
	e.running = map[string]context.CancelFunc{}
	e.versions = maps.Clone(e.options.Versions)
	e.adapters = map[string]bool{}
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	var request lrengine.Request
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	salt, ok := lrprefix.ParseID(request.Salt)
	if !ok {
		http.Error(w, "salt is malformed", http.StatusBadRequest)
		return
	}
	faults := e.faults.get()
	if faults.CrashOn != "" && strings.Contains(request.Prompt, faults.CrashOn) {
		e.crashes.Add(1)
		e.restart()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	lifetime, refusal := e.begin(request, cancel)
	if refusal != "" {
		http.Error(w, refusal, http.StatusConflict)
		return
	}
	defer e.end(request.RequestID)
	stop := context.AfterFunc(lifetime, cancel)
	defer stop()
	generation := &engineGeneration{engine: e, request: request, writer: w, lifetime: lifetime}
	generation.run(ctx, lrprefix.Chain(salt, request.Prompt))
	if lifetime.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// begin registers the request. It returns a reason when the engine doesn't serve the requested version.
func (e *engine) begin(request lrengine.Request, cancel context.CancelFunc) (context.Context, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.versions[request.Model] != request.Version {
		return nil, fmt.Sprintf("model %s is at version %q, not %q", request.Model, e.versions[request.Model], request.Version)
	}
	e.running[request.RequestID] = cancel
	e.startedRequests = append(e.startedRequests, request.RequestID)
	return e.lifetime, ""
}

func (e *engine) end(requestID string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, requestID)
}

func (e *engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	cancel, ok := e.running[mux.Vars(r)["id"]]
	if ok {
		cancel()
	}
}

func (e *engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if time.Since(e.reportedAt) > e.faults.get().LoadLag {
		e.reportedLoad, e.reportedAt = e.load(), time.Now()
	}
	writeJSON(w, e.reportedLoad)
}

func (e *engine) load() lrengine.Load {
	load := lrengine.Load{
		Incarnation: e.incarnation, QueuedTokens: e.prefills.queuedTokens(), Running: len(e.running), Versions: maps.Clone(e.versions),
	}
	for a := range e.adapters {
		load.Adapters = append(load.Adapters, a)
	}
	return load
}

func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	events := e.cache.since(from)
	if e.faults.get().LoseCacheEvents && len(events) > 0 {
		events = events[len(events)/2:]
	}
	writeJSON(w, lrengine.EventBatch{Incarnation: e.incarnation, Events: events, Next: e.cache.next})
}

func (e *engine) serveStartedRequests(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(w, e.startedRequests)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order lrengine.Order
	err := json.NewDecoder(r.Body).Decode(&order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.checkFence(order.FencingNumber) {
		http.Error(w, "a higher fencing number has been seen", http.StatusPreconditionFailed)
		return
	}
	if order.Kind == lrengine.OrderLoad {
		e.loadWeights()
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch order.Kind {
	case lrengine.OrderLoad:
		e.versions[order.Model] = order.Version
	case lrengine.OrderUnload:
		delete(e.versions, order.Model)
	case lrengine.OrderAdapter:
		e.adapters[order.Adapter] = true
	case lrengine.OrderRole:
	}
}

func (e *engine) checkFence(fence uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.ChecksFencing && fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

// loadWeights waits for the load time, which grows when more than two loads overlap.
func (e *engine) loadWeights() {
	e.mutex.Lock()
	e.loading++
	factor := max(1, e.loading-fullSpeedLoads+1)
	e.mutex.Unlock()
	time.Sleep(time.Duration(factor) * weightLoadTime)
	e.mutex.Lock()
	e.loading--
	e.mutex.Unlock()
}

// engineGeneration is one request that the engine runs.
type engineGeneration struct {
	engine   *engine
	request  lrengine.Request
	writer   http.ResponseWriter
	lifetime context.Context
}

func (g *engineGeneration) run(ctx context.Context, chain []lrprefix.ID) {
	e := g.engine
	tokens := lrprefix.Tokens(g.request.Prompt) + g.request.ResumeFrom
	e.mutex.Lock()
	expected := tokens - e.cache.match(chain)*lrprefix.BlockTokens
	e.mutex.Unlock()
	reused := 0
	prefill := func() time.Duration {
		var duration time.Duration
		reused, duration = g.prefill(ctx, chain, tokens)
		return duration
	}
	if !e.prefills.run(ctx, g.request.Priority, expected, prefill) {
		return
	}
	e.mutex.Lock()
	stored := e.cache.store(chain)
	incarnation := e.incarnation
	e.mutex.Unlock()
	e.export(stored)
	first := lrengine.Event{
		CachedTokens: reused * lrprefix.BlockTokens, QueuedTokens: e.prefills.queuedTokens(), Incarnation: incarnation,
	}
	g.decode(ctx, first)
}

// prefill returns the number of blocks that need no computation, because they are cached or imported, and the time
// to import blocks and to compute the others.
func (g *engineGeneration) prefill(ctx context.Context, chain []lrprefix.ID, tokens int) (int, time.Duration) {
	e := g.engine
	e.mutex.Lock()
	cached := e.cache.match(chain)
	e.mutex.Unlock()
	imported := 0
	if g.request.ImportFrom != "" {
		imported = e.countStored(ctx, g.request.ImportFrom, chain[cached:])
	}
	reused := cached + imported
	compute := time.Duration(tokens-reused*lrprefix.BlockTokens) * e.options.PrefillPerToken
	return reused, compute + time.Duration(imported*lrprefix.BlockTokens)*e.options.ImportPerToken
}

func (g *engineGeneration) decode(ctx context.Context, event lrengine.Event) {
	for n := g.request.ResumeFrom; n < g.request.MaxTokens; n++ {
		if !g.pause(ctx) {
			return
		}
		faults := g.engine.faults.get()
		if faults.CrashAfterTokens > 0 && n >= faults.CrashAfterTokens {
			g.engine.restart()
			return
		}
		if faults.SkipEvents && n == g.request.ResumeFrom+1 {
			continue
		}
		event.RequestID, event.Sequence = g.request.RequestID, n
		event.Text = Token(g.request.Prompt, n)
		if faults.CrossAnswers {
			event.RequestID = "another-request"
		}
		if !g.write(event) {
			return
		}
		event = lrengine.Event{}
	}
	event.RequestID, event.Sequence = g.request.RequestID, g.request.MaxTokens
	event.Done, event.FinishReason = true, "length"
	_ = g.write(event)
}

// pause waits for one decoding step, whose duration grows with the number of running requests.
func (g *engineGeneration) pause(ctx context.Context) bool {
	g.engine.mutex.Lock()
	running := len(g.engine.running)
	g.engine.mutex.Unlock()
	step := g.engine.options.DecodePerToken
	step += step * time.Duration(running) / batchSlowdown
	step = max(step, time.Until(g.engine.faults.get().FrozenUntil))
	timer := time.NewTimer(step)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *engineGeneration) write(event lrengine.Event) bool {
	err := json.NewEncoder(g.writer).Encode(event)
	if err != nil {
		return false
	}
	return http.NewResponseController(g.writer).Flush() == nil
}

// Token returns the text of token n of the answer to the prompt. It is a hash, so tests can compute the expected text.
func Token(prompt string, n int) string {
	sum := sha256.Sum256([]byte(prompt + "#" + strconv.Itoa(n)))
	return hex.EncodeToString(sum[:tokenHashBytes]) + " "
}

// Answer returns the complete answer to the prompt with the given number of tokens.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		_, _ = text.WriteString(Token(prompt, n))
	}
	return text.String()
}
