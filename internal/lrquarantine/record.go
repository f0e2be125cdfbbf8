package lrquarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// record is the stored form of a quarantine.
type record struct {
	Crash     lrquarantine.Crash `json:"crash"`
	ExpiresAt time.Time          `json:"expiresAt"`
}

// save keeps the quarantine in the platform, for instances that start later or were cut off.
func (s *Service) save(ctx context.Context, decided decision) {
	kept := record{Crash: decided.crash, ExpiresAt: s.options.Clock().Add(s.options.Ledger.QuarantineValidity)}
	value, err := json.Marshal(kept)
	if err != nil {
		return
	}
	_, err = s.options.Store.Create(ctx, lrplatform.KindQuarantine, decided.crash.Digest, value)
	if err != nil && !lrplatform.ErrConflict.Has(err) {
		s.options.Log.Warn().Err(err).Str("digest", decided.crash.Digest).Msg("quarantine: not kept in the platform")
	}
}

// Refresh takes in the quarantines that the platform keeps and deletes expired ones.
func (s *Service) Refresh(ctx context.Context, now time.Time) {
	objects, err := s.options.Store.List(ctx, lrplatform.KindQuarantine, "")
	if err != nil {
		s.options.Log.Warn().Err(err).Msg("quarantine: not read from the platform")
		return
	}
	for _, o := range objects {
		var kept record
		err := json.Unmarshal(o.Value, &kept)
		if err != nil || !now.Before(kept.ExpiresAt) {
			_ = s.options.Store.Delete(ctx, o)
			continue
		}
		s.Restore(now, kept.Crash, kept.ExpiresAt.Sub(now))
	}
}
