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
	defaultConfirmWait = 10 * time.Second
	confirmPoll        = 200 * time.Millisecond
	parallelAsks       = 32
)

// confirmation says how long instances may take to confirm a version, and whether it matters.
type confirmation struct {
	wait          time.Duration
	acceptMissing bool
}

// awaitConfirmation waits until every instance that is listed, or known to a listed one, has the version in force.
func (o *operator) awaitConfirmation(ctx context.Context, version uint64, confirmation confirmation) error {
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
			return o.reportUnconfirmed(version, missing, confirmation.acceptMissing)
		}
		time.Sleep(confirmPoll)
	}
}

func (o *operator) reportUnconfirmed(version uint64, missing map[string]string, accept bool) error {
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
func (o *operator) unconfirmed(ctx context.Context, version uint64) (map[string]string, error) {
	routers, err := o.routers(ctx)
	if err != nil {
		return nil, err
	}
	statuses := askStatuses(ctx, routers)
	missing, listed := map[string]string{}, map[string]bool{}
	known := map[string]lrmember.Member{}
	for _, s := range statuses {
		listed[s.Instance.Name] = true
		reason := s.lacks(version)
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

// lacks returns why the instance has not confirmed the version, or an empty text when it has.
func (s instanceStatus) lacks(version uint64) string {
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

func askStatuses(ctx context.Context, routers []lrplatform.Instance) []instanceStatus {
	statuses := make([]instanceStatus, len(routers))
	var group errgroup.Group
	group.SetLimit(parallelAsks)
	for n, r := range routers {
		group.Go(func() error {
			statuses[n] = askStatus(ctx, r)
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}
