package lrdaemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// changingVersion reports a version that no engine has until tokens have been reserved, as if the served version changed
// while the request waited.
type changingVersion struct {
	lrlimit.Limiter
	reserved atomic.Bool
}

func (c *changingVersion) Reserve(ctx context.Context, now time.Time, request lrlimit.Request) (lrlimit.Reservation, error) {
	defer c.reserved.Store(true)
	return c.Limiter.Reserve(ctx, now, request)
}

func (c *changingVersion) ServedVersion(string) string {
	if c.reserved.Load() {
		return "1"
	}
	return "0"
}

func TestVersionIsChosenAfterWaiting(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	versions := &changingVersion{Limiter: lrlimit.NewLocal(1)}
	d.gateway.Limiter, d.gateway.Versions = versions, versions
	status, _ := complete(t, d, h.key, "prompt", 5)
	requireEqual(t, status, http.StatusOK, "status after a change of version during the waits")
}

// flippingVersion reports a version that no engine has on its first call only.
type flippingVersion struct{ asked atomic.Bool }

func (f *flippingVersion) ServedVersion(string) string {
	if f.asked.Swap(true) {
		return "1"
	}
	return "0"
}

func TestVersionIsChosenAgainAfterLateChange(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	d.gateway.Limiter, d.gateway.Versions = lrlimit.NewLocal(1), &flippingVersion{}
	status, answer := complete(t, d, h.key, "prompt", 5)
	requireEqual(t, status, http.StatusOK, "status after a version change that follows the choice")
	requireEqual(t, answer.Choices[0].Text, lrstub.Answer("prompt", 5), "text")
}
