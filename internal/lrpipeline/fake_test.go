package lrpipeline

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	testModel       = "m"
	testMemoryBytes = 4 << 20
)

// scriptedBackend is a Backend that answers attempts with the given steps in order. It blocks until the context ends when no step is left.
type scriptedBackend struct {
	steps    []step
	attempts []Attempt
	// beforeSend is called between the choice of a server and the check before sending. sent are the attempts that passed the check.
	beforeSend func()
	sent       []Attempt
}

// step is the result of one attempt.
type step struct {
	err     error
	refusal Refusal
	status  int
	// unproven makes the answer an unproven refusal.
	unproven bool
	events   []string
	// broken ends the stream or body with an error.
	broken bool
	body   string
	length int64
	notice lrnotice.Notice
}

func (s *scriptedBackend) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	s.attempts = append(s.attempts, attempt)
	if s.beforeSend != nil {
		s.beforeSend()
	}
	err := attempt.BeforeSend()
	if err != nil {
		return nil, lrconn.ErrNotSent.Wrap(lrconn.ErrHeldBack.Wrap(err))
	}
	s.sent = append(s.sent, attempt)
	if len(s.steps) == 0 {
		<-ctx.Done()
		return nil, lrconn.ErrBroken.Wrap(ctx.Err())
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.err != nil {
		return nil, next.err
	}
	reply := &Reply{Refusal: next.refusal, Status: max(next.status, 200), Body: bytes.NewBufferString(next.body), Length: next.length, Notice: next.notice, Close: func() {}}
	if next.broken {
		reply.Body = io.MultiReader(reply.Body, brokenReader{})
	}
	reply.Head, reply.IsUnprovenRefusal = next, next.unproven
	return reply, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (s *scriptedBackend) Events(reply *Reply) EventReader {
	next, _ := reply.Head.(step)
	return &scriptedEvents{ids: next.events, broken: next.broken}
}

type scriptedEvents struct {
	ids    []string
	broken bool
}

func (e *scriptedEvents) Next() (Event, error) {
	switch {
	case len(e.ids) > 0:
		id := e.ids[0]
		e.ids = e.ids[1:]
		return Event{ID: id, Bytes: []byte(id)}, nil
	case e.broken:
		return Event{}, io.ErrUnexpectedEOF
	default:
		return Event{}, io.EOF
	}
}

// recordingCaller is a Caller that records what it receives.
type recordingCaller struct {
	refusal *lrerror.Error
	status  int
	body    string
	heads   int
	aborted bool
	// length is the length that the head of an answer stated.
	length int64
}

func (r *recordingCaller) Refuse(refusal *lrerror.Error) {
	r.refusal, r.status = refusal, refusal.Kind().Status()
}

func (r *recordingCaller) Answer(reply *Reply, body []byte) error {
	r.status, r.body = reply.Status, string(body)
	return nil
}

func (r *recordingCaller) Begin(reply *Reply, length int64) error {
	r.status, r.length = reply.Status, length
	r.heads++
	return nil
}

func (r *recordingCaller) Event(event Event) error {
	r.body += string(event.Bytes)
	return nil
}
func (r *recordingCaller) Abort() { r.aborted = true }

type noopObserver struct{}

func (noopObserver) Refused(string, string)              {}
func (noopObserver) Decided(string, string)              {}
func (noopObserver) HeldBack(int)                        {}
func (noopObserver) Attempted(string)                    {}
func (noopObserver) FirstEvent(string, time.Duration)    {}
func (noopObserver) Ended(string, string, time.Duration) {}
func (noopObserver) PromptAnswered(PromptTokens)         {}

// testBudget allows a fixed number of retries.
type testBudget struct{ left int }

func (b *testBudget) Earn(time.Time, string) {}
func (b *testBudget) Spend(time.Time, string) bool {
	b.left--
	return b.left >= 0
}

// fixture is a pipeline with a scripted backend and a clock that the test sets.
type fixture struct {
	backend    *scriptedBackend
	budget     *testBudget
	limiter    *lrlimit.SharedLimiter
	quarantine *lrquarantine.Tracker
	pipeline   *Pipeline
	now        time.Time
	kvStore    testKVStore
	isStopping bool
	// paused is how far PauseClock is ahead of the other clock.
	paused time.Duration
}

// testKVStore is the state of a single KV store.
type testKVStore struct{ isDown bool }

// Residency returns a fixed duration.
func (k *testKVStore) Residency(time.Time, string) time.Duration { return time.Minute }

// IsUsable reports whether the store answers.
func (k *testKVStore) IsUsable(time.Time, string) bool { return !k.isDown }

func newFixture(t *testing.T, steps ...step) *fixture {
	t.Helper()
	w := &fixture{
		backend: &scriptedBackend{steps: steps}, budget: &testBudget{left: 10}, limiter: lrlimit.NewSharedLimiter(true),
		now: time.Now(),
	}
	w.quarantine = lrquarantine.NewTracker(w.now, lrquarantine.DefaultTrackerOptions("test"))
	directory := lrfleet.NewDirectory(zerolog.Nop())
	directory.SetSpec(testSpec())
	directory.SetServers(testServers())
	w.pipeline = New(Dependencies{
		Directory: directory, Balancer: lrbalance.New(lrbalance.Options{PrefillPerMilli: 85, Zone: "a", Seed: 1}),
		IsStopping: func() bool { return w.isStopping },
		Stores:     &w.kvStore,
		Releases:   lrcanary.NewBoard(lrcanary.Options{Random: func() float64 { return 0 }}),
		Memory:     lrmemory.NewBudget(testMemoryBytes), Notices: lrnotice.NewBoard("test"),
		Limiter: w.limiter, RetryBudgets: w.budget, Quarantine: w.quarantine, Backend: w.backend, Observer: noopObserver{},
		Responses:        lrretry.NewResponseMonitor(lrretry.Alone(), 1),
		Ejector:          lrretry.NewEjector(lrretry.EjectorOptions{Failures: 2, Duration: time.Second, MaxDuration: time.Second, ProbeTimeout: time.Second}),
		UnreachableZones: func(time.Time) map[string]bool { return nil },
		Instances:        func() int { return 8 }, Log: zerolog.Nop(), Clock: func() time.Time { return w.now },
		PauseClock: func() time.Time { return w.now.Add(w.paused) },
	})
	return w
}

func testSpec() lrtable.Spec {
	route := func(name string, kind lrtable.Kind, attempts int, resumable bool) lrtable.Route {
		return lrtable.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Timeout: time.Second, Targets: []lrtable.Target{{Service: "s", Weight: 1}},
		}
	}
	return lrtable.Spec{
		Version: 1,
		Routes: []lrtable.Route{
			route("read", lrtable.Idempotent, 2, false), route("pay", lrtable.NonIdempotent, 1, false),
			route("stream", lrtable.Streaming, 1, false), route("resume", lrtable.Streaming, 2, true),
		},
		Services: []lrtable.Service{{Name: "s", MaxConnections: 240}},
		Accounts: []lrtable.Account{{Name: "school", Keys: []string{"key"}, CountsTokens: true, DefaultTokens: 10, Rate: 100, Burst: 100}},
	}
}

func testServers() map[string]lrfleet.Server {
	servers := map[string]lrfleet.Server{}
	for _, id := range []string{"a", "b", "c"} {
		servers[id] = lrfleet.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "a", Versions: map[string]int64{testModel: 1}}
	}
	return servers
}

func (w *fixture) request(route string) *Request {
	return &Request{ID: "r", Host: "h", Path: "/" + route + "/x", Key: "key", Received: w.now, Digest: route}
}

func (w *fixture) serve(route string) *recordingCaller {
	caller := &recordingCaller{}
	w.pipeline.Serve(context.Background(), w.request(route), caller)
	return caller
}

func (w *fixture) servers() []string {
	ids := make([]string, 0, len(w.backend.attempts))
	for _, a := range w.backend.attempts {
		ids = append(ids, a.Server.ID)
	}
	return ids
}

var (
	errTestBroken = lrconn.ErrBroken.Wrap(errors.New("reset"))
	errTestUnsent = lrconn.ErrNotSent.Wrap(errors.New("timeout"))
)

func emptyDirectory() *lrfleet.Directory { return lrfleet.NewDirectory(zerolog.Nop()) }
