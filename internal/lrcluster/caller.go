package lrcluster

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

const callTimeout = 30 * time.Second

// An Answer is the response that a caller received.
type Answer struct {
	Status    int
	RequestID string
	Header    http.Header
	// Text is the generated text, Body the answer of a plain service or an error.
	Text         string
	Body         string
	CachedTokens int
	FirstToken   time.Duration
	// Complete reports whether the stream ended with [DONE].
	Complete bool
}

// CheckComplete returns an error unless the answer is the complete one that engine stand-ins generate for the prompt.
func (a Answer) CheckComplete(prompt string, tokens int) error {
	switch {
	case a.Status != http.StatusOK:
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	case !a.Complete:
		return fmt.Errorf("the stream did not end with [DONE]: %s", a.Body)
	case a.Text != lrstub.Answer("<|user|>\n"+prompt+"\n", tokens):
		return errors.New("the text is not the complete answer")
	}
	return nil
}

// Chat requests a streamed chat completion of the model award-review.
func Chat(address, key, prompt string, maxTokens int) (Answer, error) {
	body := struct {
		Model         string          `json:"model"`
		Messages      []message       `json:"messages"`
		Stream        bool            `json:"stream"`
		StreamOptions map[string]bool `json:"stream_options"`
		MaxTokens     int             `json:"max_tokens"`
	}{"award-review", []message{{"user", prompt}}, true, map[string]bool{"include_usage": true}, maxTokens}
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, err
	}
	started := time.Now()
	response, err := send(http.MethodPost, address, "/v1/chat/completions", key, "", data)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	got := Answer{Status: response.StatusCode, Header: response.Header, RequestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		got.Body = string(text)
		return got, err
	}
	return got, got.readStream(response.Body, started)
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *Answer) readStream(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			a.Complete = true
			continue
		}
		err := a.readChunk(line, started)
		if err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (a *Answer) readChunk(line string, started time.Time) error {
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
		a.Body = string(chunk.Error)
	}
	if a.FirstToken == 0 {
		a.FirstToken = time.Since(started)
	}
	for _, c := range chunk.Choices {
		a.Text += c.Delta.Content
	}
	a.CachedTokens = max(a.CachedTokens, chunk.Usage.Details.CachedTokens)
	return nil
}

// Call sends a request to a plain service.
func Call(method, address, path, key, idempotencyKey, body string) (Answer, error) {
	response, err := send(method, address, path, key, idempotencyKey, []byte(body))
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text)}, err
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
