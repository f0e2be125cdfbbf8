package lrdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

func TestOpenAIClientStreams(t *testing.T) {
	h := newHarness(t, 2)
	d := h.startDaemon("router-1", nil)
	client := openai.NewClient(option.WithBaseURL(d.url+"/v1"), option.WithAPIKey(h.key.Reveal()), option.WithMaxRetries(0))
	prompt := strings.Repeat("rule ", lrprefix.BlockBytes)
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: testModel, MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	requireNoError(t, stream.Err())
	requireEqual(t, text.String(), lrstub.Answer(chatPrompt(prompt), 20), "streamed text")
}

func TestStreamSurvivesEngineCrash(t *testing.T) {
	h := newHarness(t, 2)
	for _, e := range h.engines {
		h.control(e, "/control/faults", lrstub.Faults{CrashAfterTokens: 7})
	}
	d := h.startDaemon("router-1", nil)
	h.control(h.engines[1], "/control/faults", lrstub.Faults{})
	status, body := complete(t, d, h.key, "prompt", 30)
	requireEqual(t, status, http.StatusOK, "status")
	requireEqual(t, body.Choices[0].Text, lrstub.Answer("prompt", 30), "text")
}

func TestRefusals(t *testing.T) {
	h := newHarness(t, 1)
	small := h.addKey("small-school")
	withdrawn := h.addKey(testAccount)
	h.withdraw(withdrawn)
	d := h.startDaemon("router-1", nil)
	cases := []struct {
		name, path, key, body string
		status                int
		kind                  string
	}{
		{"no key", "/v1/completions", "", `{}`, http.StatusUnauthorized, "unauthenticated"},
		{"unknown key", "/v1/completions", lrkey.New().Reveal(), `{}`, http.StatusUnauthorized, "unauthenticated"},
		{"withdrawn key", "/v1/completions", withdrawn.Reveal(), `{}`, http.StatusUnauthorized, "unauthenticated"},
		{"malformed JSON", "/v1/completions", h.key.Reveal(), `{`, http.StatusBadRequest, "badRequest"},
		{"unknown model", "/v1/completions", h.key.Reveal(), `{"model":"x","prompt":"p"}`, http.StatusNotFound, "modelNotFound"},
		{"over burst", "/v1/completions", small.Reveal(), `{"model":"award-review","prompt":"p","max_tokens":2000}`, http.StatusTooManyRequests, "rateLimited"},
		{"key in body", "/v1/completions", h.key.Reveal(), `{"model":"award-review","prompt":"` + h.key.Reveal() + `"}`, http.StatusBadRequest, "badRequest"},
		{"no such route", "/nowhere", h.key.Reveal(), ``, http.StatusNotFound, "notFound"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := post(t, d.url+c.path, c.key, []byte(c.body))
			defer func() { _ = response.Body.Close() }()
			var body struct {
				Error struct {
					Type      string `json:"type"`
					Message   string `json:"message"`
					RequestID string `json:"requestId"`
					Outcome   string `json:"outcome"`
				} `json:"error"`
			}
			requireNoError(t, json.NewDecoder(response.Body).Decode(&body))
			requireEqual(t, response.StatusCode, c.status, "status")
			requireEqual(t, body.Error.Type, c.kind, "type")
			requireEqual(t, body.Error.Outcome, "notRun", "outcome")
			requireEqual(t, body.Error.RequestID, response.Header.Get("X-Request-Id"), "request id")
		})
	}
}

func TestBackendNeverSeesKey(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	request, err := http.NewRequest(http.MethodGet, d.url+"/balances/1?token="+h.key.Reveal(), nil)
	requireNoError(t, err)
	request.Header.Set("Authorization", "Bearer "+h.key.Reveal())
	request.Header.Set("Cookie", "session="+h.key.Reveal())
	request.Header.Set("X-Copy", h.key.Reveal())
	response, err := http.DefaultClient.Do(request)
	requireNoError(t, err)
	_ = response.Body.Close()
	requireEqual(t, response.StatusCode, http.StatusOK, "status")
	seen, err := http.Get(h.service.URL + "/control/headers")
	requireNoError(t, err)
	defer func() { _ = seen.Body.Close() }()
	text, err := io.ReadAll(seen.Body)
	requireNoError(t, err)
	requireEqual(t, bytes.Contains(text, []byte(h.key.Reveal())), false, "the service saw the key")
}

func chatPrompt(text string) string { return "<|user|>\n" + text + "\n" }

type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func complete(t *testing.T, d *runningDaemon, key lrkey.Key, prompt string, maxTokens int) (int, completionAnswer) {
	t.Helper()
	data, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{testModel, prompt, maxTokens})
	requireNoError(t, err)
	response := post(t, d.url+"/v1/completions", key.Reveal(), data)
	defer func() { _ = response.Body.Close() }()
	var answer completionAnswer
	requireNoError(t, json.NewDecoder(response.Body).Decode(&answer))
	return response.StatusCode, answer
}

func post(t *testing.T, url, key string, body []byte) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	requireNoError(t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	requireNoError(t, err)
	return response
}
