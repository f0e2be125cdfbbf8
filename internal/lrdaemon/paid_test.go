package lrdaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

const (
	paidBody  = `{"amount":100}`
	slowReply = 300 * time.Millisecond
)

type paidAnswer struct {
	status        int
	body          string
	replayed      bool
	kind, outcome string
}

func TestPaidActionRunsOnce(t *testing.T) {
	h := newHarness(t, 1)
	first := h.startDaemon("router-1", nil)
	second := h.startDaemon("router-2", nil)
	got := h.pay(first, "action-1", paidBody)
	requireEqual(t, got.status, http.StatusOK, "status")
	requireEqual(t, got.replayed, false, "replayed")
	t.Run("resent to another instance", func(t *testing.T) {
		again := h.pay(second, "action-1", paidBody)
		requireEqual(t, again.body, got.body, "answer")
		requireEqual(t, again.replayed, true, "replayed")
	})
	t.Run("another body", func(t *testing.T) {
		h.requireRefusal(h.pay(second, "action-1", `{"amount":200}`), http.StatusUnprocessableEntity, "idempotencyMismatch")
	})
	t.Run("no idempotency key", func(t *testing.T) {
		h.requireRefusal(h.pay(first, "", paidBody), http.StatusBadRequest, "badRequest")
	})
	t.Run("platform down", func(t *testing.T) {
		h.control(h.platform, "/control/faults", lrstub.Faults{Down: true})
		defer h.control(h.platform, "/control/faults", lrstub.Faults{})
		h.requireRefusal(h.pay(first, "action-2", paidBody), http.StatusServiceUnavailable, "unavailable")
	})
	requireEqual(t, h.effects("action-1"), 1, "effects of the first action")
	requireEqual(t, h.effects("action-2"), 0, "effects of the refused action")
}

// TestGracefulShutdownWaitsForPaidAction stops an instance while the service runs an action whose caller has disconnected.
// The outcome must be recorded, so that another instance can replay it.
func TestGracefulShutdownWaitsForPaidAction(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	h.control(h.service, "/control/faults", lrstub.Faults{Delay: slowReply})
	ctx, leave := context.WithTimeout(context.Background(), slowReply/3)
	defer leave()
	request := h.paidRequest(d, "action-1", paidBody).WithContext(ctx)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("the caller was answered before it left")
	}
	d.stop()
	requireNoError(t, <-d.result)
	requireEqual(t, h.effects("action-1"), 1, "effects")
	successor := h.startDaemon("router-2", func(s *lrsettings.Settings) { s.Paid.CallTimeout = time.Second })
	requireEqual(t, h.pay(successor, "action-1", paidBody).replayed, true, "replayed")
}

func (h *harness) pay(d *runningDaemon, idempotencyKey, body string) paidAnswer {
	h.t.Helper()
	response, err := http.DefaultClient.Do(h.paidRequest(d, idempotencyKey, body))
	requireNoError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	requireNoError(h.t, err)
	var failure struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(text, &failure)
	return paidAnswer{
		status: response.StatusCode, body: string(text), replayed: response.Header.Get("Idempotent-Replayed") == "true",
		kind: failure.Error.Type, outcome: failure.Error.Outcome,
	}
}

func (h *harness) paidRequest(d *runningDaemon, idempotencyKey, body string) *http.Request {
	h.t.Helper()
	request, err := http.NewRequest(http.MethodPost, d.url+"/disbursements", bytes.NewReader([]byte(body)))
	requireNoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+h.key.Reveal())
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return request
}

func (h *harness) requireRefusal(got paidAnswer, status int, kind string) {
	h.t.Helper()
	requireEqual(h.t, got.status, status, "status")
	requireEqual(h.t, got.kind, kind, "type")
	requireEqual(h.t, got.outcome, "notRun", "outcome")
}

// effects returns how often the service has run the action.
func (h *harness) effects(idempotencyKey string) int {
	h.t.Helper()
	response, err := http.Get(h.service.URL + "/control/ledger")
	requireNoError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	var effects []lrstub.Effect
	requireNoError(h.t, json.NewDecoder(response.Body).Decode(&effects))
	count := 0
	for _, e := range effects {
		if e.IdempotencyKey == idempotencyKey {
			count++
		}
	}
	return count
}
