package lrcommand

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

const (
	defaultConfirmWait  = 10 * time.Second
	confirmPollInterval = 200 * time.Millisecond
	maxParallelFetches  = 32
)

// confirmation states how long to wait for instances to confirm a version, and whether missing confirmations are accepted.
type confirmation struct {
	wait              time.Duration
	acceptUnconfirmed bool
}

// awaitConfirmation waits until the version is active on every instance that the platform lists or that a listed instance knows.
func (o *options) awaitConfirmation(ctx context.Context, version uint64, confirmation confirmation) error {
	deadline := time.Now().Add(confirmation.wait)
	for {
		missing, err := o.unconfirmed(ctx, version)
		if err != nil {
			return err
		}
		if len(missing) == 0 {
			o.printf("every instance has confirmed version %d\n", version)
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return o.reportUnconfirmed(version, missing, confirmation.acceptUnconfirmed)
		}
		time.Sleep(confirmPollInterval)
	}
}

func (o *options) reportUnconfirmed(version uint64, missing map[string]string, accept bool) error {
	lines := make([]string, 0, len(missing))
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		lines = append(lines, fmt.Sprintf("  %s: %s", name, missing[name]))
	}
	o.printf("not confirmed by\n%s\n", strings.Join(lines, "\n"))
	if accept {
		o.printf("accepted without them\n")
		return nil
	}
	return fmt.Errorf("%d instances have not confirmed version %d; repeat the command, stop these instances, or give --accept-unconfirmed",
		len(missing), version)
}

// unconfirmed returns the instances that have not confirmed the version, each with the reason.
func (o *options) unconfirmed(ctx context.Context, version uint64) (map[string]string, error) {
	routers, err := o.routers(ctx)
	if err != nil {
		return nil, err
	}
	statuses := fetchStatuses(ctx, routers)
	missing, listed := map[string]string{}, map[string]bool{}
	known := map[string]lrmember.Member{}
	for _, s := range statuses {
		listed[s.Instance.Name] = true
		reason := s.unconfirmedReason(version)
		if reason != "" {
			missing[s.Instance.Name] = reason
		}
		if s.Status == nil {
			continue
		}
		for _, m := range s.Status.Members {
			if m.ConfigVersion >= known[m.Name].ConfigVersion {
				known[m.Name] = m
			}
		}
	}
	for name, m := range known {
		if !listed[name] && m.ConfigVersion < version {
			missing[name] = fmt.Sprintf("known to other instances at version %d, but not on the platform's list", m.ConfigVersion)
		}
	}
	return missing, nil
}

// unconfirmedReason returns why the instance has not confirmed the version, or an empty string if it has.
func (s instanceStatus) unconfirmedReason(version uint64) string {
	switch {
	case s.Status == nil:
		return "no answer: " + s.Error
	case s.Status.ConfigVersion >= version:
		return ""
	case s.Status.Rejection != nil:
		return fmt.Sprintf("refused version %d: %s", s.Status.Rejection.Version, s.Status.Rejection.Reason)
	}
	return fmt.Sprintf("version %d is in force there", s.Status.ConfigVersion)
}

func fetchStatuses(ctx context.Context, routers []lrplatform.Instance) []instanceStatus {
	statuses := make([]instanceStatus, len(routers))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for n, r := range routers {
		group.Go(func() error {
			statuses[n] = fetchStatus(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}
