package lrkey_test

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

const fixedKey = "lr_0123456789abcdef_0123456789abcdef0123456789abcdef0123456789abcdef"

type encoding struct {
	name   string
	encode func(string) string
}

func encodings() []encoding {
	return []encoding{
		{"clear", func(s string) string { return s }},
		{"upper case", strings.ToUpper},
		{"percent", func(s string) string { return formatEachByte(s, "%%%02x") }},
		{"percent of percent", func(s string) string { return formatEachByte(formatEachByte(s, "%%%02X"), "%%%02x") }},
		{"JSON escapes", func(s string) string { return formatEachByte(s, `\u00%02x`) }},
		{"base64", func(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }},
		{"URL base64", func(s string) string { return base64.RawURLEncoding.EncodeToString([]byte("?>?" + s)) }},
		{"base64 of base64", func(s string) string {
			return base64.StdEncoding.EncodeToString([]byte("x" + base64.StdEncoding.EncodeToString([]byte(s))))
		}},
		{"hexadecimal", func(s string) string { return hex.EncodeToString([]byte(s)) }},
		{"basic credentials", func(s string) string { return "Basic " + base64.StdEncoding.EncodeToString([]byte("user:"+s)) }},
	}
}

func formatEachByte(text, format string) string {
	var out strings.Builder
	for _, b := range []byte(text) {
		_, _ = fmt.Fprintf(&out, format, b)
	}
	return out.String()
}

func TestContainsKey(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, e := range encodings() {
		t.Run(e.name, func(t *testing.T) {
			for range 200 {
				before, after := filler(random), filler(random)
				requireContainsKey(t, before+e.encode(fixedKey)+after, true)
				requireContainsKey(t, before+e.encode(fixedKey[:len(fixedKey)-1]+"g")+after, false)
			}
		})
	}
}

// filler returns a text that does not extend an adjacent run of base64 or hexadecimal digits.
func filler(random *rand.Rand) string {
	return strings.Repeat("a_b 100% lr_ \\u00 ", random.IntN(20)) + ` "`[random.IntN(2):]
}

func requireContainsKey(t *testing.T, text string, want bool) {
	t.Helper()
	if lrkey.ContainsKey([]byte(text)) != want {
		t.Fatalf("%q contains a key: not %v", text, want)
	}
}

func FuzzHolds(f *testing.F) {
	for _, e := range encodings() {
		f.Add("a", e.encode(fixedKey))
	}
	f.Fuzz(func(t *testing.T, before, text string) {
		_ = lrkey.ContainsKey([]byte(text))
		requireContainsKey(t, before+" "+fixedKey+" "+text, true)
	})
}
