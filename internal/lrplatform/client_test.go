package lrplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrconn/lrfloodtest"
)

const (
	// maxHeadAllocated bounds the memory for a head without end, and maxBodyAllocated that for a body, whose buffer grows by doubling.
	maxHeadAllocated = 4 << 20
	maxBodyAllocated = 8 * maxAnswerBytes
)

// TestEndlessAnswersAreBounded calls a platform that sends bytes without end, in the head of its answer or in the body.
func TestEndlessAnswersAreBounded(t *testing.T) {
	call := func(t *testing.T, answer lrfloodtest.Answer, maxAllocated uint64) {
		t.Helper()
		client := NewClient("http://" + lrfloodtest.Start(t, answer))
		lrfloodtest.RequireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := client.Instances(ctx)
			return err
		})
		lrfloodtest.RequireBounded(t, maxAllocated, func(ctx context.Context) error {
			_, err := client.Get(ctx, KindHead, HeadName)
			return err
		})
	}
	for name, answer := range lrfloodtest.Heads() {
		t.Run(name, func(t *testing.T) { call(t, answer, maxHeadAllocated) })
	}
	for name, answer := range lrfloodtest.Bodies() {
		t.Run("body "+name, func(t *testing.T) { call(t, answer, maxBodyAllocated) })
	}
}

// TestMalformedInstancesAreOmitted lists an entry of another writer beside good ones. Decoding the list at once failed, so that no change of
// the list was seen while the entry stayed.
func TestMalformedInstancesAreOmitted(t *testing.T) {
	const good = `{"name":"a","role":"engine","address":"127.0.0.1:80","zone":"z"}`
	for name, odd := range map[string]string{
		"deep": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "deep field": `{"name":"b","role":"engine","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
		"null": "null", "a number": "1e999", "a text": `"]["`, "no name": `{"role":"engine","address":"127.0.0.1:80"}`,
		"another role": `{"name":"b","role":"oracle","address":"127.0.0.1:80"}`, "a port out of range": `{"name":"b","role":"engine","address":"127.0.0.1:70000"}`,
		"no port": `{"name":"b","role":"router","peerAddress":"127.0.0.1:0"}`, "another type": `{"name":"b","role":"engine","leaving":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+odd+","+good+"]")
			}))
			defer server.Close()
			instances, err := NewClient(server.URL).Instances(t.Context())
			if err != nil || len(instances) != 1 || instances[0].Name != "a" {
				t.Fatalf("got %v, %v", instances, err)
			}
		})
	}
}
