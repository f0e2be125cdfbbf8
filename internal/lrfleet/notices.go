package lrfleet

import (
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
)

// noticePeriod is the time between two messages to one instance that hold the notices of all backend servers. Those between hold what has
// changed.
const noticePeriod = 500 * time.Millisecond

func encodeNotices(updates []lrnotice.Update) []*lrpeerpb.BackendNotice {
	notices := make([]*lrpeerpb.BackendNotice, 0, len(updates))
	for _, u := range updates {
		notices = append(notices, &lrpeerpb.BackendNotice{
			Server: u.ID, Incarnation: u.Incarnation, StatementId: u.StatementID, HasLimit: u.HasLimit, Limit: u.Limit, IsLeaving: u.IsLeaving,
			SentAgeMillis: uint32(u.SentAge.Milliseconds()), ReceivedAgeMillis: uint32(u.ReceivedAge.Milliseconds()),
			LeavingAgeMillis: uint32(u.LeavingAge.Milliseconds()),
		})
	}
	return notices
}

// mergeNotices applies what another instance knows of backend servers.
func (s *Sharer) mergeNotices(now time.Time, notices []*lrpeerpb.BackendNotice) {
	if len(notices) == 0 {
		return
	}
	updates := make([]lrnotice.Update, 0, len(notices))
	for _, n := range notices {
		updates = append(updates, lrnotice.Update{
			Server: lrnotice.Server{ID: n.GetServer(), Incarnation: n.GetIncarnation()}, StatementID: n.GetStatementId(), HasLimit: n.GetHasLimit(), Limit: n.GetLimit(),
			IsLeaving: n.GetIsLeaving(), SentAge: millis(n.GetSentAgeMillis()), ReceivedAge: millis(n.GetReceivedAgeMillis()),
			LeavingAge: millis(n.GetLeavingAgeMillis()),
		})
		if n.GetIsLeaving() {
			s.Directory.MarkLeaving(n.GetServer(), n.GetIncarnation())
		}
	}
	s.Notices.Merge(now, updates, func(server lrnotice.Server, n lrnotice.Notice) {
		s.Log.Info().Str("server", server.ID).Int64("incarnation", server.Incarnation).Bool("limited", n.HasLimit).Float64("limit", n.Limit).
			Bool("leaving", n.IsLeaving).Msg("fleet: notice of a backend server")
	})
}

func millis(value uint32) time.Duration { return time.Duration(value) * time.Millisecond }

// updateRelayRole records since when this instance is the relay of its zone. It must be called with the mutex held.
func (s *Sharer) updateRelayRole(now time.Time) {
	switch {
	case s.relayOf(now, s.Self.Zone) != nil:
		s.relaySince = time.Time{}
	case s.relaySince.IsZero():
		s.relaySince = now
	}
}

// noticeFleet returns the instances among which the limits of backend servers are divided. It is empty until this instance has asked the
// others for long enough to know which are unreachable. It must be called with the mutex held.
func (s *Sharer) noticeFleet(now time.Time) lrnotice.Fleet {
	if !s.hasStarted {
		return lrnotice.Fleet{}
	}
	instances := []string{s.Self.Name}
	if s.others(now).reached > 0 {
		silent, unreachable := s.silentInstances(now), s.unreachableZones(now)
		for name, p := range s.peers {
			if !slices.Contains(silent, name) && !slices.Contains(unreachable, p.Zone) {
				instances = append(instances, name)
			}
		}
	}
	slices.Sort(instances)
	return lrnotice.Fleet{Instances: instances, Share: float64(len(instances)) / float64(len(s.peers)+1)}
}

// silentInstances returns the instances of reachable zones from which no messages arrive. It must be called with the mutex held.
func (s *Sharer) silentInstances(now time.Time) []string {
	if s.relayOf(now, s.Self.Zone) != nil {
		return s.relaySilent
	}
	silent := s.silentOfZone(now)
	for _, names := range s.silent {
		silent = append(silent, names...)
	}
	return silent
}

// silentOfZone returns the instances of the own zone that do not report to this one, the relay. Those that may still report to the relay
// before are left out. It must be called with the mutex held.
func (s *Sharer) silentOfZone(now time.Time) []string {
	if s.relaySince.IsZero() || now.Sub(s.relaySince) < unreachableAfter {
		return nil
	}
	var silent []string
	for name, p := range s.peers {
		if p.Zone == s.Self.Zone && now.Sub(p.receivedAt) > unreachableAfter {
			silent = append(silent, name)
		}
	}
	return silent
}

// silentFor returns the silent instances to report to the peer: those of the own zone to another zone, those of all zones to members of the
// own zone. It must be called with the mutex held.
func (s *Sharer) silentFor(now time.Time, p *peer) []string {
	if s.relayOf(now, s.Self.Zone) != nil {
		return nil
	}
	if p.Zone != s.Self.Zone {
		return s.silentOfZone(now)
	}
	return s.silentInstances(now)
}
