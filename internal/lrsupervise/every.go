package lrsupervise

import (
	"context"
	"time"
)

// Every returns a Duty that calls the function at once and then at each interval, with the current time.
func Every(interval time.Duration, call func(ctx context.Context, now time.Time)) Duty {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			call(ctx, time.Now())
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return nil
			}
		}
	}
}
