package lrengine

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
)

// FuzzStream checks that events are read only from complete lines of valid JSON, and that each error has a class.
func FuzzStream(f *testing.F) {
	whole := `{"requestId":"r","sequence":0,"text":"a"}` + "\n" + `{"requestId":"r","sequence":1,"done":true}` + "\n"
	for _, text := range []string{"", whole, whole[:len(whole)-1], whole[:20], "\n\n", "null\n", "{}\n[", `{"text":"` + strings.Repeat("x", 70000)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := newStream(io.NopCloser(strings.NewReader(text)), func() {})
		lines := strings.SplitAfter(text, "\n")
		for n := 0; ; n++ {
			_, err := s.Next()
			if err != nil {
				requireClass(t, err)
				break
			}
			if !strings.HasSuffix(lines[n], "\n") || !json.Valid([]byte(lines[n])) {
				t.Fatalf("event read from %q", lines[n])
			}
		}
		_ = s.Close()
	})
}

func requireClass(t *testing.T, err error) {
	t.Helper()
	if !ErrBroken.Has(err) && !ErrProtocol.Has(err) {
		t.Fatalf("error without a class: %v", err)
	}
}
