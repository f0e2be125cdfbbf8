package lrload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// Options describe a load. Rate is in requests per second over all client accounts.
type Options struct {
	Targets   []string
	Accounts  []Account
	Model     string
	Rate      float64
	Duration  time.Duration
	Timeout   time.Duration
	Seed      uint64
	MaxTokens int
	Shape     Shape
}

// An Outcome states how one request was served.
type Outcome struct {
	Request Request
	SentAt  time.Time
	// Status is the HTTP status, or zero without an answer.
	Status       int
	FirstToken   time.Duration
	PromptTokens int
	CachedTokens int
	// Complete reports whether the stream ended with [DONE].
	Complete bool
}

// Run sends the load and returns the report. Each request is sent at its planned time, no matter how long earlier ones take.
func Run(ctx context.Context, options Options) *Report {
	report := NewReport(options.Accounts, options.MaxTokens)
	client := &http.Client{Timeout: options.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: len(options.Accounts) * 16}}
	started := time.Now()
	var group sync.WaitGroup
	trace := Trace(options.Shape, len(options.Accounts), options.Rate, options.Duration, options.Seed)
	for n, r := range trace {
		if !waitUntil(ctx, started.Add(r.At)) {
			break
		}
		target := options.Targets[n%len(options.Targets)]
		group.Go(func() { report.Add(send(ctx, client, options, target, r)) })
	}
	group.Wait()
	return report
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func send(ctx context.Context, client *http.Client, options Options, target string, r Request) Outcome {
	outcome := Outcome{Request: r, SentAt: time.Now(), PromptTokens: lrprefix.Tokens(r.Prompt)}
	body, err := json.Marshal(struct {
		Model         string          `json:"model"`
		Prompt        string          `json:"prompt"`
		MaxTokens     int             `json:"max_tokens"`
		Stream        bool            `json:"stream"`
		StreamOptions map[string]bool `json:"stream_options"`
	}{options.Model, r.Prompt, options.MaxTokens, true, map[string]bool{"include_usage": true}})
	if err != nil {
		return outcome
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return outcome
	}
	request.Header.Set("Authorization", "Bearer "+options.Accounts[r.Account].Key)
	response, err := client.Do(request)
	if err != nil {
		return outcome
	}
	defer func() { _ = response.Body.Close() }()
	outcome.Status = response.StatusCode
	if response.StatusCode == http.StatusOK {
		outcome.readStream(response.Body)
	}
	return outcome
}

// readStream records the time to the first token and the usage of a stream.
func (o *Outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if o.FirstToken == 0 {
			o.FirstToken = time.Since(o.SentAt)
		}
		if line == "[DONE]" {
			o.Complete = true
			return
		}
		o.readUsage(line)
	}
}

func (o *Outcome) readUsage(line string) {
	var chunk struct {
		Usage struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	err := json.Unmarshal([]byte(line), &chunk)
	if err != nil || chunk.Usage.PromptTokens == 0 {
		return
	}
	o.PromptTokens = chunk.Usage.PromptTokens
	o.CachedTokens = chunk.Usage.Details.CachedTokens
}
