package lrdaemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// TestStreamsAreCompleteOverFaultyEngines serves requests with three engines, two of which have random faults. Every
// response must be complete and correct.
func TestStreamsAreCompleteOverFaultyEngines(t *testing.T) {
	const runs, tokens = 24, 40
	h := newHarness(t, 3)
	d := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.Routing.EventTimeout = 500 * time.Millisecond })
	eventually(t, "the instance has tokens", func() bool {
		status, _ := complete(t, d, h.key, "first", tokens)
		return status == http.StatusOK
	})
	random := rand.New(rand.NewPCG(9, 9))
	draw := func() lrstub.Faults {
		switch random.IntN(4) {
		case 0:
			return lrstub.Faults{CrashAfterTokens: 1 + random.IntN(tokens)}
		case 1:
			return lrstub.Faults{FrozenUntil: time.Now().Add(2 * time.Second)}
		case 2:
			return lrstub.Faults{CrossAnswers: true}
		default:
			return lrstub.Faults{SkipEvents: true}
		}
	}
	for n := range runs {
		for m, e := range h.engines {
			faults := draw()
			if m == len(h.engines)-1 {
				faults = lrstub.Faults{}
			}
			h.control(e, "/control/faults", faults)
		}
		prompt := fmt.Sprint("prompt ", n)
		status, answer := complete(t, d, h.key, prompt, tokens)
		requireEqual(t, status, http.StatusOK, "status of "+prompt)
		requireEqual(t, answer.Choices[0].Text, lrstub.Answer(prompt, tokens), "text of "+prompt)
	}
}
