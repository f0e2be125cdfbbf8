package lrdaemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const crashingPrompt = "poison"

// TestCrashingRequestIsQuarantinedOnAllInstances sends a request that crashes every engine to one instance after the other,
// while other requests run. Only two engines may crash, and the other requests must succeed.
func TestCrashingRequestIsQuarantinedOnAllInstances(t *testing.T) {
	h := newHarness(t, 4)
	for _, e := range h.engines {
		h.control(e, "/control/faults", lrstub.Faults{CrashOn: crashingPrompt})
	}
	daemons := h.startDaemons("router-1", "router-2")
	for _, d := range daemons {
		eventually(t, "the instance has tokens", func() bool {
			status, _ := complete(t, d, h.key, "prompt", 300)
			return status == http.StatusOK
		})
	}
	var group sync.WaitGroup
	for n := range 6 {
		prompt := fmt.Sprint("harmless ", n)
		group.Go(func() {
			status, answer := complete(t, daemons[n%2], h.key, prompt, 300)
			if status != http.StatusOK || answer.Choices[0].Text != lrstub.Answer(prompt, 300) {
				t.Errorf("harmless request %d: status %d", n, status)
			}
		})
	}
	eventually(t, "the harmless requests run", func() bool { return daemons[0].gateway.ActiveCalls()+daemons[1].gateway.ActiveCalls() == 6 })
	requireQuarantined(t, h, daemons[0], "unknown")
	requireQuarantined(t, h, daemons[1], "notRun")
	requireQuarantined(t, h, daemons[0], "notRun")
	group.Wait()
	eventually(t, "the platform keeps the quarantine", func() bool {
		return bytes.Contains(h.read(h.platform, "/objects/quarantines"), []byte("version"))
	})
	late := h.startDaemon("router-3", nil)
	eventually(t, "an instance that starts later knows the quarantine", func() bool {
		status, _ := sendCrashingPrompt(t, h, late)
		return status == http.StatusUnprocessableEntity
	})
	crashes := 0
	for _, e := range h.engines {
		var count int
		requireNoError(t, json.Unmarshal(h.read(e, "/control/crashes"), &count))
		crashes += count
	}
	requireEqual(t, crashes, 2, "crashes")
}

func requireQuarantined(t *testing.T, h *harness, d *runningDaemon, outcome string) {
	t.Helper()
	status, body := sendCrashingPrompt(t, h, d)
	requireEqual(t, status, http.StatusUnprocessableEntity, "status with "+body)
	requireEqual(t, bytes.Contains([]byte(body), []byte(`"outcome":"`+outcome+`"`)), true, "outcome "+outcome+" in "+body)
}

func sendCrashingPrompt(t *testing.T, h *harness, d *runningDaemon) (int, string) {
	t.Helper()
	return sendPrompt(t, h, d, crashingPrompt)
}

func sendPrompt(t *testing.T, h *harness, d *runningDaemon, prompt string) (int, string) {
	t.Helper()
	response := post(t, d.url+"/v1/completions", h.key.Reveal(), []byte(`{"model":"award-review","prompt":"`+prompt+`"}`))
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	requireNoError(t, err)
	return response.StatusCode, string(body)
}

// TestPartThatCrashesEnginesIsRejectedOnAllInstances guards against unlike prompts that crash engines through a block that they share, and
// that are sent on by other instances, or by one that starts later. Prompts with the same first block are served.
func TestPartThatCrashesEnginesIsRejectedOnAllInstances(t *testing.T) {
	h := newHarness(t, 4)
	for _, e := range h.engines {
		h.control(e, "/control/faults", lrstub.Faults{CrashOn: crashingPrompt})
	}
	daemons := h.startDaemons("router-1", "router-2")
	first, crashing := promptBlock("first"), promptBlock(crashingPrompt)
	sent := 0
	send := func(d *runningDaemon, prefix string) (status int, body string) {
		sent++
		return sendPrompt(t, h, d, fmt.Sprint(prefix, "own ", sent))
	}
	isServed := func(d *runningDaemon) bool {
		status, _ := send(d, first)
		return status == http.StatusOK
	}
	rejects := func(d *runningDaemon) bool {
		status, body := send(d, first+crashing)
		return status == http.StatusUnprocessableEntity && strings.Contains(body, `"outcome":"notRun"`)
	}
	for _, d := range daemons {
		eventually(t, "the instance serves prompts with the first block", func() bool { return isServed(d) })
	}
	for n, d := range daemons {
		eventually(t, "an instance rejects the part", func() bool {
			requireEqual(t, isServed(daemons[1-n]), true, "a sound prompt is served")
			return rejects(d)
		})
	}
	eventually(t, "the platform keeps the verdict", func() bool {
		return bytes.Contains(h.read(h.platform, "/objects/quarantines"), []byte("part-"))
	})
	late := h.startDaemon("router-3", nil)
	eventually(t, "an instance that starts later rejects the part", func() bool { return rejects(late) })
	requireEqual(t, isServed(late), true, "a sound prompt is served by the late instance")
}

// promptBlock returns a text that is a whole block of a prompt.
func promptBlock(text string) string {
	return text + strings.Repeat(".", lrprefix.BlockBytes-len(text))
}
