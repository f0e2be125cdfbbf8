package lrgateway

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const (
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 30
	// maxFastBrackets is the largest number of opening brackets in a body that is validated by gjson, which recurses once per
	// level of nesting without a limit.
	maxFastBrackets  = 10_000
	adapterSeparator = ":"
)

// completionRequest holds the fields of a chat or text completion request of the OpenAI API that the gateway uses.
type completionRequest struct {
	Model string
	// Adapter is the part of the model name after the colon.
	Adapter string
	// PromptText is the whole prompt as it is sent to the engine.
	PromptText   string
	Stream       bool
	IncludeUsage bool
	MaxTokens    int
	// Chat is set for a chat completion, and unset for a text completion. The answer has the same format.
	Chat bool
}

// parseCompletion parses the body of a completion request. It extracts the few fields that are used without decoding the whole
// body, which would copy the prompt a second time.
func parseCompletion(path string, body []byte) (completionRequest, error) {
	request := completionRequest{Chat: path == chatPath}
	root := gjson.ParseBytes(body)
	if !isJSON(body) || !root.IsObject() {
		return request, badRequest("the body is not valid JSON of a completion request")
	}
	var err error
	root.ForEach(func(name, value gjson.Result) bool {
		err = request.set(name.Str, value)
		return err == nil
	})
	switch {
	case err != nil:
		return request, err
	case request.PromptText == "" && request.Chat:
		return request, badRequest("messages must hold at least one message")
	case request.PromptText == "":
		return request, badRequest("prompt must be a text that is not empty")
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return request, nil
}

// isJSON reports whether the body is valid JSON in UTF-8. A body that may be deeply nested is validated by the standard
// library, which limits the nesting.
func isJSON(body []byte) bool {
	if !utf8.Valid(body) {
		return false
	}
	if bytes.Count(body, []byte("["))+bytes.Count(body, []byte("{")) > maxFastBrackets {
		return json.Valid(body)
	}
	return gjson.ValidBytes(body)
}

// set stores one field of the body. Fields that the gateway does not use are ignored.
func (r *completionRequest) set(name string, value gjson.Result) error {
	var err error
	switch name {
	case "model":
		r.Model, r.Adapter, _ = strings.Cut(value.Str, adapterSeparator)
		err = requireType(name, value, gjson.String)
	case "prompt":
		if r.Chat {
			return nil
		}
		r.PromptText = value.Str
		err = requireType(name, value, gjson.String)
	case "messages":
		if !r.Chat {
			return nil
		}
		r.PromptText, err = joinMessages(value)
	case "stream":
		r.Stream = value.Bool()
	case "stream_options":
		r.IncludeUsage = value.Get("include_usage").Bool()
	case "max_tokens", "max_completion_tokens":
		return r.setMaxTokens(name, value)
	}
	return err
}

func (r *completionRequest) setMaxTokens(name string, value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	tokens := value.Float()
	if value.Type != gjson.Number || tokens < 0 || tokens > maxMaxTokens || tokens != float64(int(tokens)) {
		return badRequest(name + " must be a whole number of at least 1")
	}
	r.MaxTokens = max(r.MaxTokens, int(tokens))
	return nil
}

func joinMessages(messages gjson.Result) (string, error) {
	if !messages.IsArray() {
		return "", badRequest("messages must be a list")
	}
	var joined strings.Builder
	var err error
	messages.ForEach(func(_, message gjson.Result) bool {
		err = joinMessage(&joined, message)
		return err == nil
	})
	return joined.String(), err
}

func joinMessage(joined *strings.Builder, message gjson.Result) error {
	role := message.Get("role")
	if !message.IsObject() || requireType("role", role, gjson.String) != nil {
		return badRequest("each message must have a role")
	}
	content, err := contentText(message.Get("content"))
	if err != nil {
		return err
	}
	for _, part := range []string{"<|", role.Str, "|>\n", content, "\n"} {
		_, _ = joined.WriteString(part)
	}
	return nil
}

// contentText returns the text of a message, whose content is a string, null or a list of text parts.
func contentText(content gjson.Result) (string, error) {
	switch {
	case content.Type == gjson.String || content.Type == gjson.Null:
		return content.Str, nil
	case !content.IsArray():
		return "", badRequest("content must be a text or a list of text parts")
	}
	var joined strings.Builder
	var err error
	content.ForEach(func(_, part gjson.Result) bool {
		text := part.Get("text")
		if part.Get("type").Str != "text" || text.Type != gjson.String {
			err = badRequest("content holds a part that is no text; send parts of type text alone")
			return false
		}
		_, _ = joined.WriteString(text.Str)
		return true
	})
	return joined.String(), err
}

func requireType(name string, value gjson.Result, want gjson.Type) error {
	if value.Type != want {
		return badRequest(name + " must be a text that is not empty")
	}
	return nil
}

func badRequest(message string) *lrerror.Error {
	return lrerror.New(lrerror.KindBadRequest, lrerror.NotRun, "%s", message)
}
