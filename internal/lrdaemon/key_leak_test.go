package lrdaemon

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
)

// recordingService records every byte that it receives.
type recordingService struct {
	listener net.Listener
	mutex    sync.Mutex
	received bytes.Buffer
}

func startRecordingService(t *testing.T) *recordingService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	s := &recordingService{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *recordingService) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var received bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &received)))
	if err == nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	s.mutex.Lock()
	_, _ = received.WriteTo(&s.received)
	s.mutex.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
		"X-Kept: 1\r\nKeep-Alive: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n")
}

func (s *recordingService) takeReceived() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	received := bytes.Clone(s.received.Bytes())
	s.received.Reset()
	return received
}

// useService makes the recording service the only plain service of the deployment.
func (h *harness) useService(s *recordingService) {
	h.t.Helper()
	for n, i := range h.instances {
		if i.Role == lrplatform.RoleService {
			h.instances[n].Address = s.listener.Addr().String()
		}
	}
	h.publishInstances()
}

// read returns the response of a stub server to a GET of the path.
func (h *harness) read(server *httptest.Server, path string) []byte {
	h.t.Helper()
	response, err := http.Get(server.URL + path)
	requireNoError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	requireNoError(h.t, err)
	return data
}

// keyForms returns the key in several encodings.
func keyForms(key string) map[string]string {
	percent, escapes := "", ""
	for _, b := range []byte(key) {
		percent += fmt.Sprintf("%%%02x", b)
		escapes += fmt.Sprintf(`\u00%02x`, b)
	}
	return map[string]string{
		"clear": key, "upper case": strings.ToUpper(key), "percent": percent, "escapes": escapes,
		"base64": base64.StdEncoding.EncodeToString([]byte("user:" + key)),
		"URL":    base64.RawURLEncoding.EncodeToString([]byte(key)),
	}
}

// TestKeyNeverReachesService puts a key in several encodings in every part of a request, on routes with and without
// authentication, and checks every byte that the service, the log and the explanations receive.
func TestKeyNeverReachesService(t *testing.T) {
	h := newHarness(t, 1)
	service := startRecordingService(t)
	h.useService(service)
	var logged bytes.Buffer
	h.log = zerolog.New(zerolog.SyncWriter(&logged))
	d := h.startDaemon("router-1", nil)
	other := h.addKey(testAccount).Reveal()
	places := []struct {
		name, head, body string
		status           int
	}{
		{"header", "GET %[1]s HTTP/1.1\r\nHost: a\r\nX-Copy: %[2]s\r\n", "", 200},
		{"header name", "GET %[1]s HTTP/1.1\r\nHost: a\r\nX%[2]s: b\r\n", "", 0},
		{"cookie", "GET %[1]s HTTP/1.1\r\nHost: a\r\nCookie: a=%[2]s\r\n", "", 200},
		{"basic", "GET %[1]s HTTP/1.1\r\nHost: a\r\nProxy-Authorization: Basic %[2]s\r\n", "", 200},
		{"referer", "GET %[1]s HTTP/1.1\r\nHost: a\r\nReferer: http://a/?k=%[2]s\r\n", "", 200},
		{"named by Connection", "GET %[1]s HTTP/1.1\r\nHost: a\r\nConnection: %[2]s\r\n", "", 200},
		{"query", "GET %[1]s?a=1&k=%[2]s&b=2 HTTP/1.1\r\nHost: a\r\n", "", 200},
		{"query name", "GET %[1]s?%[2]s HTTP/1.1\r\nHost: a\r\n", "", 200},
		{"path", "GET %[1]s/%[2]s HTTP/1.1\r\nHost: a\r\n", "", 400},
		{"host", "GET %[1]s HTTP/1.1\r\nHost: %[2]s\r\n", "", 0},
		{"idempotency key", "GET %[1]s HTTP/1.1\r\nHost: a\r\nIdempotency-Key: %[2]s\r\n", "", 400},
		{"body", "POST %[1]s HTTP/1.1\r\nHost: a\r\nContent-Length: %[3]d\r\n", `{"note":"%[2]s"}`, 400},
		{"chunk", "POST %[1]s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n", "%[3]x\r\n%[2]s\r\n0\r\n\r\n", 400},
		{"trailer", "POST %[1]s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Copy\r\n", "1\r\nx\r\n0\r\nX-Copy: %[2]s\r\n\r\n", 200},
	}
	for _, path := range []string{"/balances", "/opening-hours"} {
		for form, text := range keyForms(other) {
			for _, p := range places {
				t.Run(path+" "+p.name+" "+form, func(t *testing.T) {
					body := expand(p.body, path, text, len(text))
					head := expand(p.head, path, text, len(body))
					head += "Authorization: Bearer " + h.key.Reveal() + "\r\nConnection: close\r\n\r\n"
					status := exchange(t, d.settings.Instance.Address, head+body)
					if p.status != 0 {
						requireEqual(t, status, p.status, "status")
					}
					requireNoKey(t, "the service", service.takeReceived())
				})
			}
		}
	}
	d.stop()
	<-d.Done()
	requireNoKey(t, "the log", logged.Bytes())
	explained, err := json.Marshal(d.recorder.All())
	requireNoError(t, err)
	requireNoKey(t, "an explanation", explained)
}

func expand(format string, args ...any) string {
	if format == "" {
		return ""
	}
	text := fmt.Sprintf(format, args...)
	text, _, _ = strings.Cut(text, "%!(EXTRA")
	return text
}

// exchange sends the text on a new connection and returns the status of the response.
func exchange(t *testing.T, address, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	requireNoError(t, err)
	answer := readAnswer(t, bufio.NewReader(conn))
	requireNoKey(t, "the answer", answer.body)
	if answer.status == http.StatusBadRequest && answer.header.Get("X-Request-Id") != "" {
		requireEqual(t, bytes.Contains(answer.body, []byte(`"outcome":"notRun"`)), true, "outcome not run in "+string(answer.body))
	}
	return answer.status
}

func requireNoKey(t *testing.T, who string, data []byte) {
	t.Helper()
	if lrkey.ContainsKey(data) {
		t.Fatalf("%s has seen a key: %q", who, data)
	}
}

func TestCompressedKeyIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	_, _ = io.WriteString(writer, h.key.Reveal())
	requireNoError(t, writer.Close())
	head := fmt.Sprintf("POST /opening-hours HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", body.Len())
	requireEqual(t, exchange(t, d.settings.Instance.Address, head+body.String()), http.StatusBadRequest, "status")
}

// TestKeyNeverReachesEngine splits the key over content parts that are joined into one prompt.
func TestKeyNeverReachesEngine(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	key := h.key.Reveal()
	body := `{"model":"award-review","messages":[{"role":"user","content":[{"type":"text","text":"` + key[:20] +
		`"},{"type":"text","text":"` + key[20:] + `"}]}]}`
	response := post(t, d.url+"/v1/chat/completions", key, []byte(body))
	defer func() { _ = response.Body.Close() }()
	requireEqual(t, response.StatusCode, http.StatusBadRequest, "status")
	var ran []string
	requireNoError(t, json.Unmarshal(h.read(h.engines[0], "/control/ran"), &ran))
	requireEqual(t, len(ran), 0, "requests on the engine")
}

func TestResponseHeadersOfServices(t *testing.T) {
	h := newHarness(t, 1)
	service := startRecordingService(t)
	h.useService(service)
	d := h.startDaemon("router-1", nil)
	response, err := http.Get(d.url + "/opening-hours")
	requireNoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	requireNoError(t, err)
	for _, name := range []string{"Set-Cookie", "X-Hop", "Keep-Alive", "Trailer"} {
		requireEqual(t, response.Header.Get(name), "", name)
	}
	requireEqual(t, response.Header.Get("X-Kept"), "1", "X-Kept")
	requireEqual(t, response.Trailer.Get("X-Sum"), "1", "trailer X-Sum")
}
