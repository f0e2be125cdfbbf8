package lrgateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

const leakedKey = "lr_0123456789abcdef_0123456789abcdef0123456789abcdef0123456789abcdef"

func TestForwardQueryKeepsOtherParameters(t *testing.T) {
	cases := []struct{ query, want string }{
		{"", ""},
		{"a=1&b=%zz;c&&", "a=1&b=%zz;c&&"},
		{"a=1&k=" + leakedKey + "&b=2", "a=1&b=2"},
		{leakedKey + "=1", ""},
		{"a=" + leakedKey[:30] + "&" + leakedKey[30:] + "=1", "a=" + leakedKey[:30] + "&" + leakedKey[30:] + "=1"},
	}
	for _, c := range cases {
		if got := forwardQuery(c.query); got != c.want {
			t.Fatalf("query %q became %q, want %q", c.query, got, c.want)
		}
	}
}

// FuzzForward puts a key between arbitrary text in the query and the headers, and checks that no key is forwarded.
func FuzzForward(f *testing.F) {
	for _, seed := range []string{"", "a=1&b=", "%25", ";", "Connection", "%6cr_", `\u006c`} {
		f.Add(seed, seed, seed)
	}
	f.Fuzz(func(t *testing.T, before, after, name string) {
		text := before + leakedKey + after
		query := forwardQuery(text)
		header := forwardHeader(http.Header{name: {text, before}, "X-" + text: {after}, "Connection": {name}})
		if lrkey.ContainsKey([]byte(query)) {
			t.Fatalf("query %q", query)
		}
		for name, values := range header {
			if lrkey.ContainsKey([]byte(name)) || lrkey.ContainsKey([]byte(strings.Join(values, "\n"))) {
				t.Fatalf("header %q: %q", name, values)
			}
		}
	})
}
