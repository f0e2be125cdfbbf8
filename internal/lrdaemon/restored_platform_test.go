package lrdaemon

import (
	"context"
	"net/http"
	"testing"
)

// TestInstancesOutlastRestoreOfPlatform guards against paid actions that run twice and keys that are lost when the platform's store comes back from
// an older copy: the era that its answers name must reach the records of paid actions and the configuration, also at an instance that hears of the
// platform from its peers alone.
func TestInstancesOutlastRestoreOfPlatform(t *testing.T) {
	h := newHarness(t, 1)
	daemons := h.startDaemons("router-1", "router-2")
	h.control(h.platform, "/control/copy", nil)
	first := h.pay(daemons[0], "action-1", paidBody)
	requireEqual(t, first.status, http.StatusOK, "status of the action")
	added := h.addKeyAndWait(daemons[0], testAccount)
	h.control(h.platform, "/control/restore", nil)

	again := h.pay(daemons[1], "action-1", paidBody)
	requireEqual(t, h.effects("action-1"), 1, "effects")
	requireEqual(t, again.replayed, true, "the repeated action is answered from its record")
	requireEqual(t, again.body, first.body, "answer to the repeated action")
	eventually(t, "the platform has the key again", func() bool {
		stored, err := h.publisher.Read(context.Background())
		requireNoError(t, err)
		_, ok := stored.Key(added.ID())
		return ok
	})
	status, _ := complete(t, daemons[1], h.addKeyAndWait(daemons[1], testAccount), "p", 1)
	requireEqual(t, status, http.StatusOK, "status with a key that was added after the restore")
}
