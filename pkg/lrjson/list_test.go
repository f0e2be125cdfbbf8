package lrjson

import (
	"encoding/json"
	"strings"
	"testing"
)

// deep returns a list that is nested more deeply than the decoder of the standard library accepts.
func deep() string { return strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) }

// TestSplitKeepsGoodElements reads lists with a malformed element. Decoding them at once fails, so that nothing of the list is known.
func TestSplitKeepsGoodElements(t *testing.T) {
	for name, odd := range map[string]string{
		"nested deeply": deep(), "an object nested deeply": strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"a large number": "1e999", "brackets in a text": `"]}[{\"]"`, "null": "null", "another type": "7",
	} {
		t.Run(name, func(t *testing.T) {
			document := []byte(` {"before":{"items":[9]},"items": [ {"a":1}, ` + odd + ` ,{"a":2}],"at":5} `)
			var envelope struct {
				At int `json:"at"`
			}
			elements, err := Split(document, "items", &envelope)
			requireEqual(t, err, nil)
			requireEqual(t, len(elements), 3)
			requireEqual(t, envelope.At, 5)
			requireEqual(t, string(elements[1]), odd)
			var last struct{ A int }
			requireEqual(t, json.Unmarshal(elements[2], &last), nil)
			requireEqual(t, last.A, 2)
		})
	}
}

// TestSplitRejectsBrokenDocuments checks that a document that was cut off is never taken for a shorter list.
func TestSplitRejectsBrokenDocuments(t *testing.T) {
	const whole = `{"items":[{"a":1},{"a":"]"}],"at":5}`
	for length := range len(whole) {
		_, err := Split([]byte(whole[:length]), "items", nil)
		requireEqual(t, ErrNoList.Has(err), true)
	}
	const array = `[{"a":1},{"a":[2]}]`
	for length := range len(array) {
		_, err := SplitArray([]byte(array[:length]))
		requireEqual(t, ErrNoList.Has(err), true)
	}
	for _, text := range []string{`{"items":null}`, `{"items":{}}`, `{}`, `[]`, `7`, `{"items":[],"at":}`} {
		_, err := Split([]byte(text), "items", nil)
		requireEqual(t, ErrNoList.Has(err), true)
	}
	elements, err := SplitArray([]byte(array))
	requireEqual(t, err, nil)
	requireEqual(t, len(elements), 2)
}

func TestText(t *testing.T) {
	requireEqual(t, Text([]byte(`{"metadata":{"name":"i"},"spec":`+deep()+`}`), "metadata.name"), "i")
	requireEqual(t, Text([]byte(`{"spec":`+deep()+`,"metadata":{"name":"i"}}`), "metadata.name"), "i")
	requireEqual(t, Text([]byte(`{"metadata":{"name":7}}`), "metadata.name"), "")
}

func requireEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}
