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
	chatPath        = "/v1/chat/completions"
	completionsPath = "/v1/completions"
	modelsPath      = "/v1/models"
)

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

// completionSink writes the answer in the format of the OpenAI API, as a stream of events or as one JSON body.
type completionSink struct {
	call       *Call
	request    completionRequest
	created    int64
	text       strings.Builder
	controller *http.ResponseController
	clock      func() time.Time
	// writeTimeout is the time in which the caller must read one event.
	writeTimeout time.Duration
	// onFirstText is called for each text. The first one shows that the engine has processed the prompt, so the function must
	// allow repeated calls.
	onFirstText func()
}

func (g *Gateway) newCompletionSink(call *Call, request completionRequest) *completionSink {
	return &completionSink{
		call: call, request: request, created: g.Clock().Unix(), controller: http.NewResponseController(call.writer),
		clock: g.Clock, writeTimeout: g.options.WriteTimeout,
	}
}

// Deliver writes the text to a streaming caller, or buffers it for a complete answer.
func (s *completionSink) Deliver(text string) error {
	s.onFirstText()
	if !s.request.Stream {
		_, _ = s.text.WriteString(text)
		return nil
	}
	return s.writeEvent(s.chunk(text, nil))
}

func (s *completionSink) finish(job lrstream.Job, result lrstream.Result) error {
	totals := &usage{
		PromptTokens: job.Route.Tokens, CompletionTokens: result.OutputTokens,
		TotalTokens:         job.Route.Tokens + result.OutputTokens,
		PromptTokensDetails: usageDetails{CachedTokens: result.CachedTokens},
	}
	if !s.request.Stream {
		s.call.wroteHeader = true
		s.call.allowWrite(s.clock().Add(s.writeTimeout))
		writeJSON(s.call.writer, http.StatusOK, s.completeBody(result, totals))
		return nil
	}
	err := s.writeEvent(s.chunk("", &result.FinishReason))
	if err != nil {
		return err
	}
	if s.request.IncludeUsage {
		last := s.body()
		last.Choices, last.Usage = []completionChoice{}, totals
		err = s.writeEvent(last)
		if err != nil {
			return err
		}
	}
	return s.writeLine("data: [DONE]\n\n")
}

// fail ends a stream that has started with an error event, so that no caller mistakes a truncated answer for a complete one.
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

func (s *completionSink) completeBody(result lrstream.Result, totals *usage) completionBody {
	body := s.body()
	text := s.text.String()
	choice := completionChoice{FinishReason: &result.FinishReason}
	if s.request.Chat {
		choice.Message = &choiceMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body.Choices, body.Usage = []completionChoice{choice}, totals
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
