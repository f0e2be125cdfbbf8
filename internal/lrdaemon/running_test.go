package lrdaemon

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const endlessTokens = 900_000

// runningStream is a streamed completion whose first event has arrived.
type runningStream struct {
	response *http.Response
	lines    *bufio.Scanner
}

func startStream(t *testing.T, d *runningDaemon, key lrkey.Key, maxTokens int) *runningStream {
	t.Helper()
	data, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{testModel, "prompt", maxTokens, true})
	requireNoError(t, err)
	response := post(t, d.url+"/v1/completions", key.Reveal(), data)
	t.Cleanup(func() { _ = response.Body.Close() })
	requireEqual(t, response.StatusCode, http.StatusOK, "status")
	s := &runningStream{response: response, lines: bufio.NewScanner(response.Body)}
	requireEqual(t, s.lines.Scan(), true, "first event")
	return s
}

// requireErrorEvent reads to the end of the stream. Its last event must be an error of the kind.
func (s *runningStream) requireErrorEvent(t *testing.T, kind string) {
	t.Helper()
	last := ""
	for s.lines.Scan() {
		line := s.lines.Text()
		if line != "" {
			last = line
		}
	}
	requireNoError(t, s.lines.Err())
	var event struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	requireNoError(t, json.Unmarshal([]byte(strings.TrimPrefix(last, "data: ")), &event))
	requireEqual(t, event.Error.Type, kind, "type of the last event")
	requireEqual(t, event.Error.Outcome, "ran", "outcome")
}

func TestRunningStreamEndsWhenAuthorizationIsLost(t *testing.T) {
	applied := func(accounts ...lrconfig.Account) func(*harness, lrkey.Key) {
		return func(h *harness, _ lrkey.Key) { h.setAccounts(accounts...) }
	}
	cases := []struct {
		name, kind string
		change     func(*harness, lrkey.Key)
	}{
		{"key withdrawn", "unauthenticated", func(h *harness, key lrkey.Key) { h.withdraw(key) }},
		{"account moved to a plan without the model", "modelNotFound", applied(lrconfig.Account{Name: testAccount, Plan: "no-models"})},
		{"account removed", "forbidden", applied()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			d := h.startDaemon("router-1", nil)
			stream := startStream(t, d, h.key, endlessTokens)
			c.change(h, h.key)
			stream.requireErrorEvent(t, c.kind)
		})
	}
}

// setAccounts replaces the list of client accounts.
func (h *harness) setAccounts(accounts ...lrconfig.Account) {
	h.t.Helper()
	list := lrconfig.List{Accounts: map[string]lrconfig.Account{}}
	for _, a := range accounts {
		list.Accounts[a.Name] = a
	}
	h.change(func(s *lrconfig.Snapshot) (lrstate.Change, error) { return lrstate.AccountChange(s, list) })
}

func TestSlowReaderIsDisconnected(t *testing.T) {
	h := newHarness(t, 1)
	options := lrstub.DefaultEngineOptions()
	options.Versions = map[string]string{testModel: "1"}
	options.DecodePerToken = 0
	fast := startServer(t, lrstub.NewEngine(options))
	h.instances[0].Address = fast.Listener.Addr().String()
	h.publishInstances()
	d := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.Server.WriteTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", d.settings.Instance.Address)
	requireNoError(t, err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"award-review","prompt":"p","max_tokens":900000,"stream":true}`
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+h.key.Reveal()+
		"\r\nContent-Length: 71\r\n\r\n"+body)
	requireNoError(t, err)
	requireEqual(t, len(body), 71, "length of the body")
	eventually(t, "the request runs", func() bool { return d.gateway.ActiveCalls() == 1 })
	eventually(t, "the request of the caller that reads nothing has ended", func() bool { return d.gateway.ActiveCalls() == 0 })
	for _, e := range d.recorder.All() {
		requireEqual(t, strings.Contains(e.Error, "too slowly"), true, "error "+e.Error)
	}
}

func TestOpenRequestsPerAccountAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.Server.MaxConnectionsPerAccount = 1 })
	stream := startStream(t, d, h.key, endlessTokens)
	status, _ := complete(t, d, h.key, "p", 1)
	requireEqual(t, status, http.StatusServiceUnavailable, "status beside an open request")
	status, _ = complete(t, d, h.addKeyAndWait(d, "small-school"), "p", 1)
	requireEqual(t, status, http.StatusOK, "status of another account")
	_ = stream.response.Body.Close()
	eventually(t, "the request of the caller that left has ended", func() bool { return d.gateway.ActiveCalls() == 0 })
	status, _ = complete(t, d, h.key, "p", 1)
	requireEqual(t, status, http.StatusOK, "status after the request has ended")
}

// addKeyAndWait adds a key and waits until the instance has received it.
func (h *harness) addKeyAndWait(d *runningDaemon, account string) lrkey.Key {
	h.t.Helper()
	key := h.addKey(account)
	eventually(h.t, "the instance knows the key", func() bool {
		_, ok := d.follower.Snapshot().Key(key.ID())
		return ok
	})
	return key
}

func TestEngineRequestIsCanceledWhenCallerDisconnects(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	stream := startStream(t, d, h.key, endlessTokens)
	_ = stream.response.Body.Close()
	eventually(t, "the engine runs nothing", func() bool {
		var load struct {
			Running int `json:"running"`
		}
		requireNoError(t, json.Unmarshal(h.read(h.engines[0], "/load"), &load))
		return load.Running == 0
	})
}
