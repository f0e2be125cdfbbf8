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
	batchSlowdown   = 32
	weightLoadTime  = 200 * time.Millisecond
	fullSpeedLoads  = 2
	tokenHashLength = 3
)

// EngineOptions describe an engine stand-in.
type EngineOptions struct {
	Name            string
	Versions        map[string]string
	CachePieces     int
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// ImportPerToken is the time that the import of one cached token takes.
	ImportPerToken time.Duration
	// ExportTo is the address of the store to which computed pieces are exported. It is empty when none are.
	ExportTo      string
	ChecksFencing bool
}

// DefaultEngineOptions returns the options of a fast engine with room for 80 pieces.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Name: "engine", Versions: map[string]string{}, CachePieces: 80,
		PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 5 * time.Millisecond, ImportPerToken: 2 * time.Microsecond,
	}
}

type engine struct {
	options EngineOptions
	faults  faultBox
	lane    prefillLane

	mutex       sync.Mutex
	incarnation string
	alive       context.Context
	kill        context.CancelFunc
	cache       *pieceCache
	running     map[string]context.CancelFunc
	versions    map[string]string
	adapters    map[string]bool
	fence       uint64
	loading     int
	laggedLoad  lrengine.Load
	laggedAt    time.Time
	ran         []string
	// crashes counts the crashes by prompts.
	crashes atomic.Int64
}

// NewEngine returns a stand-in for an engine. The text it generates depends on the prompt alone.
func NewEngine(options EngineOptions) http.Handler {
	e := &engine{options: options}
	e.restart()
	router := mux.NewRouter()
	router.Handle("/control/faults", &e.faults).Methods(http.MethodPut)
	router.HandleFunc("/control/crash", func(http.ResponseWriter, *http.Request) { e.restart() }).Methods(http.MethodPost)
	router.HandleFunc("/control/ran", e.serveRan).Methods(http.MethodGet)
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

// restart cuts every stream and comes back with an empty cache.
func (e *engine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.kill != nil {
		e.kill()
	}
	e.alive, e.kill = context.WithCancel(context.Background())
	e.incarnation = uuid.NewString()
	e.cache = newPieceCache(e.options.CachePieces)
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
	alive, refusal := e.begin(request, cancel)
	if refusal != "" {
		http.Error(w, refusal, http.StatusConflict)
		return
	}
	defer e.end(request.RequestID)
	stop := context.AfterFunc(alive, cancel)
	defer stop()
	generation := &engineGeneration{engine: e, request: request, writer: w, alive: alive}
	generation.run(ctx, lrprefix.Chain(salt, request.Prompt))
	if alive.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// begin registers the request. It returns the reason when the engine does not serve the wanted version.
func (e *engine) begin(request lrengine.Request, cancel context.CancelFunc) (context.Context, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.versions[request.Model] != request.Version {
		return nil, fmt.Sprintf("model %s is at version %q, not %q", request.Model, e.versions[request.Model], request.Version)
	}
	e.running[request.RequestID] = cancel
	e.ran = append(e.ran, request.RequestID)
	return e.alive, ""
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
	if time.Since(e.laggedAt) > e.faults.get().LoadLag {
		e.laggedLoad, e.laggedAt = e.load(), time.Now()
	}
	writeJSON(w, e.laggedLoad)
}

func (e *engine) load() lrengine.Load {
	load := lrengine.Load{
		Incarnation: e.incarnation, QueuedTokens: e.lane.queuedTokens(), Running: len(e.running), Versions: maps.Clone(e.versions),
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

func (e *engine) serveRan(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(w, e.ran)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order lrengine.Order
	err := json.NewDecoder(r.Body).Decode(&order)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.passFence(order.Fence) {
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

func (e *engine) passFence(fence uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.ChecksFencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// loadWeights takes longer when more than two loads overlap.
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

// engineGeneration is one request on the engine.
type engineGeneration struct {
	engine  *engine
	request lrengine.Request
	writer  http.ResponseWriter
	alive   context.Context
}

func (g *engineGeneration) run(ctx context.Context, chain []lrprefix.ID) {
	e := g.engine
	tokens := lrprefix.Tokens(g.request.Prompt) + g.request.ResumeFrom
	e.mutex.Lock()
	expected := tokens - e.cache.match(chain)*lrprefix.PieceTokens
	e.mutex.Unlock()
	held := 0
	prefill := func() time.Duration {
		var duration time.Duration
		held, duration = g.prefill(ctx, chain, tokens)
		return duration
	}
	if !e.lane.run(ctx, g.request.Priority, expected, prefill) {
		return
	}
	e.mutex.Lock()
	stored := e.cache.store(chain)
	incarnation := e.incarnation
	e.mutex.Unlock()
	e.export(stored)
	first := lrengine.Event{
		CachedTokens: held * lrprefix.PieceTokens, QueuedTokens: e.lane.queuedTokens(), Incarnation: incarnation,
	}
	g.decode(ctx, first)
}

// prefill returns the number of pieces that need not be computed, because they are cached or were imported, and the
// time that the import and the computation of the others take.
func (g *engineGeneration) prefill(ctx context.Context, chain []lrprefix.ID, tokens int) (int, time.Duration) {
	e := g.engine
	e.mutex.Lock()
	cached := e.cache.match(chain)
	e.mutex.Unlock()
	imported := 0
	if g.request.ImportFrom != "" {
		imported = e.countKept(ctx, g.request.ImportFrom, chain[cached:])
	}
	held := cached + imported
	compute := time.Duration(tokens-held*lrprefix.PieceTokens) * e.options.PrefillPerToken
	return held, compute + time.Duration(imported*lrprefix.PieceTokens)*e.options.ImportPerToken
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

// pause waits for the time of one decoding step, which grows with the batch.
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

// Token returns the text of token n of the answer to the prompt.
func Token(prompt string, n int) string {
	sum := sha256.Sum256([]byte(prompt + "#" + strconv.Itoa(n)))
	return hex.EncodeToString(sum[:tokenHashLength]) + " "
}

// Answer returns the whole answer of the given number of tokens to the prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		_, _ = text.WriteString(Token(prompt, n))
	}
	return text.String()
}
