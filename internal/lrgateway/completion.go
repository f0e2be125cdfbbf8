package lrgateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstream"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const (
	chatPath         = "/v1/chat/completions"
	completionsPath  = "/v1/completions"
	modelsPath       = "/v1/models"
	defaultMaxTokens = 256
	adapterSeparator = ":"
)

// completionRequest is the body of a chat or text completion in the OpenAI form.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`

	// Adapter is the part of the model name after the colon.
	Adapter string `json:"-"`
	// PromptText is the whole prompt as the engine gets it.
	PromptText string `json:"-"`
	// Chat tells which of the two forms the answer has.
	Chat bool `json:"-"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, which stands as a string or as a list of text parts.
type chatContent string

// UnmarshalJSON reads both forms of the content.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	err := json.Unmarshal(data, &parts)
	if err != nil {
		return fmt.Errorf("content must be a text or a list of text parts: %w", err)
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part %q is not supported; send text", p.Type)
		}
		_, _ = joined.WriteString(p.Text)
	}
	*c = chatContent(joined.String())
	return nil
}

func parseCompletion(path string, body []byte) (completionRequest, error) {
	request := completionRequest{Chat: path == chatPath}
	err := json.Unmarshal(body, &request)
	if err != nil {
		return request, badRequest("the body is not valid JSON of a completion request").WithCause(err)
	}
	request.Model, request.Adapter, _ = strings.Cut(request.Model, adapterSeparator)
	request.PromptText, err = request.promptText()
	if err != nil {
		return request, err
	}
	request.MaxTokens = max(request.MaxTokens, request.MaxCompletionTokens)
	if request.MaxTokens < 0 {
		return request, badRequest("max_tokens must be at least 1")
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return request, nil
}

func (r completionRequest) promptText() (string, error) {
	if !r.Chat {
		var prompt string
		err := json.Unmarshal(r.Prompt, &prompt)
		if err != nil || prompt == "" {
			return "", badRequest("prompt must be a text that is not empty")
		}
		return prompt, nil
	}
	if len(r.Messages) == 0 {
		return "", badRequest("messages must hold at least one message")
	}
	var text strings.Builder
	for _, m := range r.Messages {
		_, _ = fmt.Fprintf(&text, "<|%s|>\n%s\n", m.Role, m.Content)
	}
	return text.String(), nil
}

func badRequest(message string) *lrerror.Error {
	return lrerror.New(lrerror.KindBadRequest, lrerror.NotRun, "%s", message)
}

type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int              `json:"index"`
	Delta        *choiceMessage   `json:"delta,omitempty"`
	Message      *choiceMessage   `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
	Logprobs     *json.RawMessage `json:"logprobs"`
}

type choiceMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionSink writes the answer in the OpenAI form, as a stream or as a whole.
type completionSink struct {
	call       *Call
	request    completionRequest
	created    int64
	text       strings.Builder
	controller *http.ResponseController
	clock      func() time.Time
	// writeTimeout is the longest that the caller may take for one event.
	writeTimeout time.Duration
	// onFirst is called at the first text, when the engine has read the prompt.
	onFirst func()
}

func (g *Gateway) newCompletionSink(call *Call, request completionRequest) *completionSink {
	return &completionSink{
		call: call, request: request, created: g.Clock().Unix(), controller: http.NewResponseController(call.writer),
		clock: g.Clock, writeTimeout: g.options.WriteTimeout,
	}
}

// Deliver writes the text to a streaming caller, or keeps it for the whole answer.
func (s *completionSink) Deliver(text string) error {
	s.onFirst()
	if !s.request.Stream {
		_, _ = s.text.WriteString(text)
		return nil
	}
	return s.writeEvent(s.chunk(text, nil))
}

func (s *completionSink) finish(job lrstream.Job, result lrstream.Result) error {
	counted := &usage{
		PromptTokens: job.Route.Tokens, CompletionTokens: result.OutputTokens,
		TotalTokens:         job.Route.Tokens + result.OutputTokens,
		PromptTokensDetails: usageDetails{CachedTokens: result.CachedTokens},
	}
	if !s.request.Stream {
		s.call.wroteHeader = true
		s.call.allowWrite(s.clock().Add(s.writeTimeout))
		writeJSON(s.call.writer, http.StatusOK, s.whole(result, counted))
		return nil
	}
	err := s.writeEvent(s.chunk("", &result.FinishReason))
	if err != nil {
		return err
	}
	if s.request.StreamOptions.IncludeUsage {
		last := s.body()
		last.Choices, last.Usage = []completionChoice{}, counted
		err = s.writeEvent(last)
		if err != nil {
			return err
		}
	}
	return s.writeLine("data: [DONE]\n\n")
}

// fail ends a stream that has begun with an error event, so that no caller takes the cut answer for a whole one.
func (s *completionSink) fail(failure *lrerror.Error) {
	if s.call.wroteHeader {
		_ = s.writeEvent(newErrorBody(s.call.ID, failure))
	}
}

func (s *completionSink) body() completionBody {
	object := "text_completion"
	if s.request.Chat {
		object = "chat.completion"
	}
	if s.request.Chat && s.request.Stream {
		object = "chat.completion.chunk"
	}
	return completionBody{ID: s.call.ID, Object: object, Created: s.created, Model: s.request.Model}
}

func (s *completionSink) chunk(text string, finishReason *string) completionBody {
	body := s.body()
	choice := completionChoice{FinishReason: finishReason}
	if s.request.Chat {
		choice.Delta = &choiceMessage{Content: text}
		if !s.call.wroteHeader {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	body.Choices = []completionChoice{choice}
	return body
}

func (s *completionSink) whole(result lrstream.Result, counted *usage) completionBody {
	body := s.body()
	text := s.text.String()
	choice := completionChoice{FinishReason: &result.FinishReason}
	if s.request.Chat {
		choice.Message = &choiceMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.Choices, body.Usage = []completionChoice{choice}, counted
	return body
}

func (s *completionSink) writeEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return s.writeLine("data: " + string(data) + "\n\n")
}

func (s *completionSink) writeLine(line string) error {
	if !s.call.wroteHeader {
		s.call.wroteHeader = true
		s.call.writer.Header().Set("Content-Type", "text/event-stream")
		s.call.writer.Header().Set("Cache-Control", "no-store")
		s.call.writer.WriteHeader(http.StatusOK)
	}
	s.call.allowWrite(s.clock().Add(s.writeTimeout))
	_, err := s.call.writer.Write([]byte(line))
	if err != nil {
		return err
	}
	return s.controller.Flush()
}
