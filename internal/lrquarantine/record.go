package lrquarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// record is the value of a quarantine object in the platform.
type record struct {
	Crash     lrquarantine.Crash `json:"crash"`
	ExpiresAt time.Time          `json:"expiresAt"`
}

// save stores the quarantine in the platform, for instances that start later or were not reachable.
func (s *Service) save(ctx context.Context, decided decision) {
	quarantine := record{Crash: decided.crash, ExpiresAt: s.options.Clock().Add(s.options.Ledger.QuarantineValidity)}
	value, err := json.Marshal(quarantine)
	if err != nil {
		return
	}
	_, err = s.options.Store.Create(ctx, lrplatform.KindQuarantine, decided.crash.Digest, value)
	if err != nil && !lrplatform.ErrConflict.Has(err) {
		s.options.Log.Warn().Err(err).Str("digest", decided.crash.Digest).Msg("quarantine: not kept in the platform")
	}
}

// Refresh applies the quarantines stored in the platform and deletes expired ones.
func (s *Service) Refresh(ctx context.Context, now time.Time) {
	objects, err := s.options.Store.List(ctx, lrplatform.KindQuarantine, "")
	if err != nil {
		s.options.Log.Warn().Err(err).Msg("quarantine: not read from the platform")
		return
	}
	for _, o := range objects {
		if isPart(o) {
			if !s.applyPart(now, o) {
				_ = s.options.Store.Delete(ctx, o)
			}
			continue
		}
		var quarantine record
		err := json.Unmarshal(o.Value, &quarantine)
		if err != nil || !now.Before(quarantine.ExpiresAt) {
			_ = s.options.Store.Delete(ctx, o)
			continue
		}
		s.Restore(now, quarantine.Crash, quarantine.ExpiresAt.Sub(now))
	}
}
