package lrgateway

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

type parseCase struct {
	name, path, body, prompt string
	valid                    bool
}

func parseCases() []parseCase {
	return []parseCase{
		{"text", completionsPath, `{"model":"m","prompt":"a\nb\u00e4","max_tokens":3}`, "a\nbä", true},
		{"the last of two prompts", completionsPath, `{"prompt":"a","prompt":"b"}`, "b", true},
		{"chat", chatPath, `{"messages":[{"role":"system","content":"a"},{"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}]}`, "<|system|>\na\n<|user|>\nbc\n", true},
		{"null content", chatPath, `{"messages":[{"role":"assistant","content":null}],"max_tokens":null}`, "<|assistant|>\n\n", true},
		{"invalid UTF-8", completionsPath, "{\"prompt\":\"a\xff\"}", "", false},
		{"truncated", completionsPath, `{"prompt":"a"`, "", false},
		{"two JSON values", completionsPath, `{"prompt":"a"}{}`, "", false},
		{"list", completionsPath, `[]`, "", false},
		{"prompt of numbers", completionsPath, `{"prompt":[1,2]}`, "", false},
		{"empty prompt", completionsPath, `{"prompt":""}`, "", false},
		{"no messages", chatPath, `{"messages":[]}`, "", false},
		{"no role", chatPath, `{"messages":[{"content":"a"}]}`, "", false},
		{"image", chatPath, `{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", false},
		{"negative tokens", completionsPath, `{"prompt":"a","max_tokens":-1}`, "", false},
		{"fractional tokens", completionsPath, `{"prompt":"a","max_tokens":1.5}`, "", false},
		{"too many tokens", completionsPath, `{"prompt":"a","max_tokens":1e300}`, "", false},
		{"deep nesting", completionsPath, `{"prompt":` + strings.Repeat("[", 1<<20), "", false},
	}
}

func TestParseCompletion(t *testing.T) {
	for _, c := range parseCases() {
		t.Run(c.name, func(t *testing.T) {
			request, err := parseCompletion(c.path, []byte(c.body))
			if (err == nil) != c.valid {
				t.Fatalf("error %v", err)
			}
			if err == nil && request.PromptText != c.prompt {
				t.Fatalf("prompt %q, want %q", request.PromptText, c.prompt)
			}
		})
	}
}

// FuzzParseCompletion checks that accepted bodies are valid JSON with the prompt that the standard library decodes, and that
// every error is a bad request that did not run.
func FuzzParseCompletion(f *testing.F) {
	for _, c := range parseCases() {
		if len(c.body) < 1<<10 {
			f.Add(c.path == chatPath, []byte(c.body))
		}
	}
	f.Fuzz(func(t *testing.T, chat bool, body []byte) {
		path := completionsPath
		if chat {
			path = chatPath
		}
		request, err := parseCompletion(path, body)
		if err != nil {
			requireNotRun(t, err)
			return
		}
		var standard map[string]any
		if json.Unmarshal(body, &standard) != nil {
			t.Fatal("accepted a body that the standard library rejects")
		}
		if !chat && standard["prompt"] != request.PromptText {
			t.Fatalf("prompt %q, the standard library decodes %q", request.PromptText, standard["prompt"])
		}
	})
}

func requireNotRun(t *testing.T, err error) {
	t.Helper()
	if !lrerror.Is(err, lrerror.KindBadRequest) || lrerror.From(err).Outcome() != lrerror.NotRun {
		t.Fatalf("error %v", err)
	}
}
