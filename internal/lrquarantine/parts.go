package lrquarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// partPrefix begins the names of the objects that hold verdicts on parts of prompts.
const partPrefix = "part-"

// partRecord is the value of the object in the platform that holds a verdict on a part of prompts.
type partRecord struct {
	lrquarantine.Verdict
	ExpiresAt time.Time `json:"expiresAt"`
}

// DefaultPartOptions returns the options of the tracker of parts on the named instance. News takes longer than on instances that exchange
// their state all the time.
func DefaultPartOptions(instance string) lrquarantine.TrackerOptions {
	options := lrquarantine.DefaultTrackerOptions(instance)
	options.PartsOnly = true
	options.SettleTime, options.MaxDelay = 800*time.Millisecond, 1500*time.Millisecond
	return options
}

// Tell answers another instance that tells what it knows of parts of prompts.
func (s *Service) Tell(_ context.Context, news *lrpeerpb.QuarantineNews) (*lrpeerpb.QuarantineNews, error) {
	now := s.options.Clock()
	s.Parts.Merge(now, lrpeer.DecodeQuarantine(news))
	return lrpeer.EncodeQuarantine(s.Parts.Verdicts(now)), nil
}

// TellNews tells every other instance what this one has observed, and stores its verdicts in the platform.
func (s *Service) TellNews(ctx context.Context, now time.Time) {
	news := s.Parts.TakeNews(now)
	if !news.IsEmpty() {
		message := lrpeer.EncodeQuarantine(news)
		err := s.callPeers(ctx, func(ctx context.Context, peer lrpeerpb.QuarantineClient) error {
			_, err := peer.Tell(ctx, message)
			return err
		})
		if err != nil {
			s.options.Log.Warn().Err(err).Int("crashes", len(news.Crashes)).Int("verdicts", len(news.Verdicts)).
				Msg("quarantine: not every instance heard the news of parts")
		}
	}
	s.saveParts(ctx, now)
}

// AskVerdicts asks an instance for its verdicts, so that news that was lost arrives later.
func (s *Service) AskVerdicts(ctx context.Context, _ time.Time) {
	members := s.others()
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	connection, err := s.options.Pool.Connection(members[rand.IntN(len(members))].PeerAddress)
	if err != nil {
		s.options.Log.Debug().Err(err).Msg("quarantine: instance not asked for verdicts")
		return
	}
	reply, err := lrpeerpb.NewQuarantineClient(connection).Tell(ctx, lrpeer.EncodeQuarantine(s.Parts.Verdicts(s.options.Clock())))
	if err != nil {
		s.options.Log.Debug().Err(err).Msg("quarantine: instance not asked for verdicts")
		return
	}
	s.Parts.Merge(s.options.Clock(), lrpeer.DecodeQuarantine(reply))
}

// saveParts stores the verdicts that this instance has decided.
func (s *Service) saveParts(ctx context.Context, now time.Time) {
	store := VerdictStore{Objects: s.options.Store, Kind: lrplatform.KindQuarantine, Prefix: partPrefix}
	for _, v := range s.Parts.Unsaved(now) {
		err := store.Save(ctx, v, partRecord{Verdict: v, ExpiresAt: now.Add(s.options.Ledger.QuarantineValidity)})
		if err != nil {
			s.options.Log.Warn().Err(err).Str("trait", v.Trait.String()).Msg("quarantine: verdict not stored yet")
			continue
		}
		s.Parts.Saved(v)
	}
}

// applyPart applies a stored verdict and reports whether the object holds one that is still valid.
func (s *Service) applyPart(now time.Time, object lrplatform.Object) bool {
	var stored partRecord
	err := json.Unmarshal(object.Value, &stored)
	if err != nil || !now.Before(stored.ExpiresAt) {
		return false
	}
	s.Parts.Merge(now, lrquarantine.Updates{Verdicts: []lrquarantine.VerdictUpdate{{Verdict: stored.Verdict}}})
	return true
}

func isPart(object lrplatform.Object) bool { return strings.HasPrefix(object.Name, partPrefix) }

// logVerdict logs a verdict that took effect.
func (s *Service) logVerdict(v lrquarantine.Verdict) {
	s.options.Log.Warn().Str("trait", v.Trait.String()).Bool("quarantined", v.IsQuarantined).Bool("ambiguous", v.IsAmbiguous).
		Uint32("crashes", v.Crashes).Uint32("trials", v.Trials).Uint32("version", v.Version).Msg("quarantine: verdict")
}
