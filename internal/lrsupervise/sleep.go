package lrsupervise

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends. It reports whether the context was still active at the end.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
