package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrexplain"
	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/internal/lrgateway"
	"github.com/lavenderrouter/lavenderrouter/internal/lrmetric"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	rigModel   = "award-review"
	rigAccount = "parish-office"
	rigEngine  = "engine-a"
	rigPrompt  = 22 * lrprefix.BlockBytes / 2
	rigTokens  = 16
	rigRate    = 1e12
)

// gatewayRig is a gateway and an engine that answers without delay, both on the loopback interface.
type gatewayRig struct {
	engine  net.Listener
	gateway net.Listener
	key     lrkey.Key
	client  *http.Client
	body    []byte
	direct  []byte
}

// rigDependencies provide the gateway with a fixed configuration and a single engine.
type rigDependencies struct {
	snapshot *lrconfig.Snapshot
	engine   lrengine.Engine
}

func (p rigDependencies) Snapshot() *lrconfig.Snapshot { return p.snapshot }

func (p rigDependencies) Engine(string) (lrengine.Engine, bool) { return p.engine, true }

func newGatewayRig(log zerolog.Logger) (*gatewayRig, error) {
	rig := &gatewayRig{key: lrkey.New(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}}
	var err error
	rig.engine, err = serveLoopback(http.HandlerFunc(serveRigEngine))
	if err != nil {
		return nil, err
	}
	dialer := lrengine.NewDialer(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}})
	parts := rigDependencies{snapshot: rig.snapshot(), engine: dialer.Dial(rig.engine.Addr().String())}
	rig.gateway, err = serveLoopback(rig.newGateway(parts, log))
	if err != nil {
		return nil, err
	}
	prompt := string(bytes.Repeat([]byte("award rule "), rigPrompt/11))
	rig.body, err = json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{rigModel, prompt, rigTokens, true})
	if err != nil {
		return nil, err
	}
	rig.direct, err = json.Marshal(lrengine.Request{RequestID: "r", Model: rigModel, Version: "1", Prompt: prompt, MaxTokens: rigTokens})
	return rig, err
}

func (r *gatewayRig) close() {
	_ = r.engine.Close()
	_ = r.gateway.Close()
}

func serveLoopback(handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: lrframe.ConnContext}
	go func() { _ = server.Serve(lrframe.NewListener(listener, http.DefaultMaxHeaderBytes)) }()
	return listener, nil
}

func (r *gatewayRig) snapshot() *lrconfig.Snapshot {
	return lrconfig.NewSnapshot(lrconfig.Head{Version: 1}, map[string]lrconfig.Shard{
		lrconfig.ShardPlans: {Plans: map[string]lrconfig.Plan{
			"plan": {Name: "plan", Models: []string{rigModel}, Rate: rigRate, Burst: rigRate},
		}},
		lrconfig.ShardCatalog:             {Catalog: lrconfig.Catalog{Models: []lrconfig.Model{{Name: rigModel, Version: "1"}}}},
		lrconfig.AccountShard(rigAccount): {Accounts: map[string]lrconfig.Account{rigAccount: {Name: rigAccount, Plan: "plan"}}},
		lrconfig.KeyShard(r.key.ID()): {Keys: map[string]lrconfig.KeyRecord{
			r.key.ID(): {ID: r.key.ID(), Account: rigAccount, Hash: r.key.Hash()},
		}},
	})
}

func (r *gatewayRig) newGateway(parts rigDependencies, log zerolog.Logger) http.Handler {
	settings := lrsettings.Default()
	placer := lrroute.NewNestedPlacer()
	placer.SetEngines(time.Now(), rigModel, []lrroute.Engine{{Name: rigEngine, Incarnation: "i", ReportedAt: time.Now()}})
	runner := lrstream.NewRunner(parts, placer, time.Now, lrstream.Options{
		MaxAttempts: settings.Routing.MaxAttempts, EventTimeout: settings.Routing.EventTimeout,
	}, log)
	return lrgateway.New(lrgateway.Dependencies{
		Config: parts, Limiter: lrlimit.NewLocal(1), Runner: runner,
		Queue:    lrqueue.NewFairQueue(lrqueue.Options{Quantum: lrprefix.BlockTokens, MaxTokens: 1 << 30, MaxWait: time.Minute}, 1<<30),
		Recorder: lrexplain.NewRecorder(1 << 10), Metrics: lrmetric.New(), Log: log, Clock: time.Now,
	}, lrgateway.Options{
		MaxBodyBytes: settings.Server.MaxBodyBytes, BodyTimeout: settings.Server.BodyTimeout,
		StreamTimeout: settings.Server.StreamTimeout, WriteTimeout: settings.Server.WriteTimeout,
	})
}

// serveRigEngine answers every request immediately.
func serveRigEngine(w http.ResponseWriter, r *http.Request) {
	var request lrengine.Request
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	controller, encoder := http.NewResponseController(w), json.NewEncoder(w)
	for n := range request.MaxTokens + 1 {
		event := lrengine.Event{RequestID: request.RequestID, Sequence: n, Text: "token ", Incarnation: "i"}
		if n == request.MaxTokens {
			event.Text, event.Done, event.FinishReason = "", true, "length"
		}
		_ = encoder.Encode(event)
		_ = controller.Flush()
	}
}

// timing is the time to the first byte and to the end of one answer.
type timing struct{ first, whole time.Duration }

func (r *gatewayRig) throughGateway(ctx context.Context) (timing, error) {
	return r.call(ctx, "http://"+r.gateway.Addr().String()+"/v1/completions", r.body)
}

func (r *gatewayRig) toEngine(ctx context.Context) (timing, error) {
	return r.call(ctx, "http://"+r.engine.Addr().String()+"/v1/generate", r.direct)
}

func (r *gatewayRig) call(ctx context.Context, url string, body []byte) (timing, error) {
	var t timing
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return t, err
	}
	request.Header.Set("Authorization", "Bearer "+r.key.Reveal())
	started := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return t, err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadByte()
	t.first = time.Since(started)
	if err != nil || response.StatusCode != http.StatusOK {
		return t, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	_, err = io.Copy(io.Discard, reader)
	t.whole = time.Since(started)
	return t, err
}
