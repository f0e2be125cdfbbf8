package lrgateway

import (
	"net/http"
	"slices"
	"strings"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

// hopByHopHeaders returns the headers that apply to a single connection and are never forwarded.
func hopByHopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "Host",
	}
}

// credentialHeaders returns the headers that are meant to carry credentials. They are never forwarded.
func credentialHeaders() []string {
	return []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}
}

// forwardHeader returns the headers that may be forwarded to a backend server or to the caller. None of them contains a key.
func forwardHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range strings.Split(strings.Join(header.Values("Connection"), ","), ",") {
		forwarded.Del(strings.TrimSpace(name))
	}
	for _, name := range append(hopByHopHeaders(), credentialHeaders()...) {
		forwarded.Del(name)
	}
	for name, values := range forwarded {
		if lrkey.ContainsKey([]byte(name)) || lrkey.ContainsKey([]byte(strings.Join(values, "\n"))) {
			delete(forwarded, name)
		}
	}
	return forwarded
}

// forwardQuery returns the raw query without the parameters that contain a key. It returns an empty query if the rest, joined,
// still contains one.
func forwardQuery(query string) string {
	if !lrkey.ContainsKey([]byte(query)) {
		return query
	}
	kept := strings.FieldsFunc(query, func(r rune) bool { return r == '&' || r == ';' })
	kept = slices.DeleteFunc(kept, func(parameter string) bool { return lrkey.ContainsKey([]byte(parameter)) })
	joined := strings.Join(kept, "&")
	if lrkey.ContainsKey([]byte(joined)) {
		return ""
	}
	return joined
}
