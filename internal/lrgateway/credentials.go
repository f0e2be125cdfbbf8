package lrgateway

import (
	"net/http"
	"net/url"
	"strings"
)

// hopHeaders returns the headers that concern one connection alone and are never forwarded.
func hopHeaders() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "Host",
	}
}

// credentialHeaders returns the headers that carry credentials by their nature.
func credentialHeaders() []string {
	return []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}
}

// forwardHeader returns the headers that may go on to a backend server. None of them holds the secret.
func forwardHeader(header http.Header, secret string) http.Header {
	forwarded := header.Clone()
	for _, name := range strings.Split(strings.Join(header.Values("Connection"), ","), ",") {
		forwarded.Del(strings.TrimSpace(name))
	}
	for _, name := range append(hopHeaders(), credentialHeaders()...) {
		forwarded.Del(name)
	}
	for name, values := range forwarded {
		if holdsSecret(name, secret) || holdsSecret(strings.Join(values, "\n"), secret) {
			forwarded.Del(name)
		}
	}
	return forwarded
}

// forwardQuery returns the query without the parameters that hold the secret.
func forwardQuery(query url.Values, secret string) string {
	forwarded := url.Values{}
	for name, values := range query {
		if !holdsSecret(name, secret) && !holdsSecret(strings.Join(values, "\n"), secret) {
			forwarded[name] = values
		}
	}
	return forwarded.Encode()
}

func holdsSecret(text, secret string) bool {
	return secret != "" && strings.Contains(strings.ToLower(text), strings.ToLower(secret))
}
