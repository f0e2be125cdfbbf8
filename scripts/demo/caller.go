package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const callTimeout = 30 * time.Second

// answer is what a caller got.
type answer struct {
	status       int
	requestID    string
	header       http.Header
	text         string
	body         string
	cachedTokens int
	firstToken   time.Duration
	complete     bool
}

// chat sends a streamed chat completion of the model award-review.
func chat(address, key, prompt string, maxTokens int) (answer, error) {
	body := struct {
		Model         string          `json:"model"`
		Messages      []message       `json:"messages"`
		Stream        bool            `json:"stream"`
		StreamOptions map[string]bool `json:"stream_options"`
		MaxTokens     int             `json:"max_tokens"`
	}{"award-review", []message{{"user", prompt}}, true, map[string]bool{"include_usage": true}, maxTokens}
	data, err := json.Marshal(body)
	if err != nil {
		return answer{}, err
	}
	started := time.Now()
	response, err := send(http.MethodPost, address, "/v1/chat/completions", key, "", data)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{status: response.StatusCode, header: response.Header, requestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		got.body = string(text)
		return got, err
	}
	return got, got.readStream(response.Body, started)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *answer) readStream(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			a.complete = true
			continue
		}
		err := a.readChunk(line, started)
		if err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (a *answer) readChunk(line string, started time.Time) error {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage struct {
			Details struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error json.RawMessage `json:"error"`
	}
	err := json.Unmarshal([]byte(line), &chunk)
	if err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	if chunk.Error != nil {
		a.body = string(chunk.Error)
	}
	if a.firstToken == 0 {
		a.firstToken = time.Since(started)
	}
	for _, c := range chunk.Choices {
		a.text += c.Delta.Content
	}
	a.cachedTokens = max(a.cachedTokens, chunk.Usage.Details.CachedTokens)
	return nil
}

// call sends a request to a plain service.
func call(method, address, path, key, idempotencyKey, body string) (answer, error) {
	response, err := send(method, address, path, key, idempotencyKey, []byte(body))
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(text)}, err
}

func send(method, address, path, key, idempotencyKey string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := &http.Client{Timeout: callTimeout}
	return client.Do(request)
}
