package lrfleet

import (
	"maps"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

// evidencePeriod is the time between two messages to one instance that hold the evidence on new releases of services.
const evidencePeriod = 300 * time.Millisecond

// evidenceReport is the latest evidence of one sender. The offset is added to it, so that what a sender counted before it was first heard,
// or what another process of the sender counted, is neither counted twice nor lost.
type evidenceReport struct {
	evidence lrcanary.Evidence
	process  string
	offset   lrcanary.Evidence
}

func (e evidenceReport) total() lrcanary.Evidence {
	total := lrcanary.Evidence{}
	total.Add(e.evidence)
	total.Add(e.offset)
	return total
}

// evidenceSet keeps the evidence of each sender. Evidence of a sender that has ended stays. A sender is an instance of the own zone, or
// another zone, whose process is then that of its relay.
type evidenceSet struct{ reports map[string]evidenceReport }

func newEvidenceSet() *evidenceSet { return &evidenceSet{reports: map[string]evidenceReport{}} }

// set stores the evidence of a sender.
func (e *evidenceSet) set(sender, process string, evidence lrcanary.Evidence) {
	before := e.reports[sender]
	r := evidenceReport{evidence: evidence, process: process, offset: before.offset}
	if before.process != process {
		r.offset = before.total()
		r.offset.Subtract(evidence)
	}
	e.reports[sender] = r
}

// sum returns the evidence of all senders except the given one.
func (e *evidenceSet) sum(except string) lrcanary.Evidence {
	sum := lrcanary.Evidence{}
	for sender, r := range e.reports {
		if sender != except {
			sum.Add(r.evidence)
			sum.Add(r.offset)
		}
	}
	return sum
}

// keep drops the evidence of all other orders.
func (e *evidenceSet) keep(orders map[uint64]bool) {
	if len(orders) == 0 {
		clear(e.reports)
		return
	}
	for _, r := range e.reports {
		r.evidence.Keep(orders)
		r.offset.Keep(orders)
	}
}

// releasesFor adds to the state what this instance knows of roll-outs of services. Deployments without roll-outs add nothing.
func (s *Sharer) releasesFor(now time.Time, p *peer, gauges map[uint64]lrcanary.Gauge, state *lrpeerpb.FleetState) {
	news := map[uint64]lrcanary.News{}
	for _, n := range s.Releases.News(now) {
		news[n.Order] = n
	}
	for order := range gauges {
		if _, ok := news[order]; !ok {
			news[order] = lrcanary.News{Order: order}
		}
	}
	for order, n := range news {
		state.ServiceRollouts = append(state.ServiceRollouts, &lrpeerpb.ServiceRollout{
			Order: order, Stage: uint32(n.Stage), OrderAgeMillis: uint32(n.OrderAge.Milliseconds()), StageAgeMillis: uint32(n.StageAge.Milliseconds()),
			HasHolder: n.HasHolder, HolderAgeMillis: uint32(n.HolderAge.Milliseconds()), Verdict: n.Verdict,
			Acknowledged: uint32(max(gauges[order].Acknowledged, 0)), RunningOld: uint32(max(gauges[order].RunningOld, 0)),
		})
	}
	orders := s.Releases.Orders()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Only a relay knows the evidence of its zone. Another instance that is asked for it would be taken for a new relay.
	knowsZone := p.Zone == s.Self.Zone || s.isRelay(now)
	if len(orders) == 0 || !knowsZone || now.Sub(p.evidenceAt) < evidencePeriod {
		return
	}
	p.evidenceAt = now
	evidence := s.evidenceFor(now, p)
	evidence.Keep(orders)
	state.HasReleaseEvidence, state.ReleaseEvidence = true, encodeEvidence(evidence)
}

// evidenceFor returns the evidence to send to the peer: that of the same instances as the totals of sumFor. It must be called with the mutex
// held.
func (s *Sharer) evidenceFor(now time.Time, p *peer) lrcanary.Evidence {
	own := s.Releases.Own()
	relay := s.relayOf(now, s.Self.Zone)
	if p.Zone == s.Self.Zone && relay != nil && relay.Name == p.Name {
		return own
	}
	evidence := s.memberEvidence.sum(p.Name)
	evidence.Add(own)
	if p.Zone == s.Self.Zone {
		evidence.Add(s.zoneEvidence.sum(""))
	}
	return evidence
}

func encodeEvidence(evidence lrcanary.Evidence) []*lrpeerpb.ReleaseEvidence {
	encoded := make([]*lrpeerpb.ReleaseEvidence, 0, len(evidence))
	for key, c := range evidence {
		if c == (lrcanary.Counts{}) {
			continue
		}
		encoded = append(encoded, &lrpeerpb.ReleaseEvidence{
			Order: key.Order, Route: key.Route, IsNew: key.IsNew, Group: uint32(key.Group), Answers: c.Answers, Failed: c.Failed, Slow: c.Slow,
			Wholes: c.Wholes, LogWhole: c.LogWhole, Firsts: c.Firsts, LogFirst: c.LogFirst,
		})
	}
	return encoded
}

func decodeEvidence(encoded []*lrpeerpb.ReleaseEvidence) lrcanary.Evidence {
	evidence := make(lrcanary.Evidence, len(encoded))
	for _, e := range encoded {
		key := lrcanary.Key{Order: e.GetOrder(), Route: e.GetRoute(), IsNew: e.GetIsNew(), Group: uint8(e.GetGroup())}
		evidence[key] = lrcanary.Counts{
			Answers: e.GetAnswers(), Failed: e.GetFailed(), Slow: e.GetSlow(), Wholes: e.GetWholes(), LogWhole: e.GetLogWhole(),
			Firsts: e.GetFirsts(), LogFirst: e.GetLogFirst(),
		}
	}
	return evidence
}

// decodeRollouts returns what the sender tells of roll-outs, and its sums.
func decodeRollouts(rollouts []*lrpeerpb.ServiceRollout) ([]lrcanary.News, map[uint64]lrcanary.Gauge) {
	if len(rollouts) == 0 {
		return nil, nil
	}
	news, gauges := make([]lrcanary.News, 0, len(rollouts)), make(map[uint64]lrcanary.Gauge, len(rollouts))
	for _, r := range rollouts {
		gauges[r.GetOrder()] = lrcanary.Gauge{Acknowledged: int(r.GetAcknowledged()), RunningOld: int(r.GetRunningOld())}
		news = append(news, lrcanary.News{
			Order: r.GetOrder(), Stage: lrcanary.Stage(min(r.GetStage(), uint32(lrcanary.Moved)+1)), OrderAge: millis(r.GetOrderAgeMillis()),
			StageAge: millis(r.GetStageAgeMillis()), HasHolder: r.GetHasHolder(), HolderAge: millis(r.GetHolderAgeMillis()), Verdict: r.GetVerdict(),
		})
	}
	return news, gauges
}

// recordEvidence stores the evidence by the role of its sender, as recordState does with the totals. It must be called with the mutex held.
func (s *Sharer) recordEvidence(state *lrpeerpb.FleetState, isAnswer bool) {
	if !state.GetHasReleaseEvidence() {
		return
	}
	evidence := decodeEvidence(state.GetReleaseEvidence())
	switch {
	case state.GetZone() != s.Self.Zone:
		s.zoneEvidence.set(state.GetZone(), state.GetProcess(), evidence)
	case isAnswer:
		s.relayEvidence = evidenceReport{evidence: evidence, process: state.GetProcess()}
	default:
		s.memberEvidence.set(state.GetName(), state.GetProcess(), evidence)
	}
}

// othersEvidence returns the evidence of all other instances and the process that has summed it up. It must be called with the mutex held.
func (s *Sharer) othersEvidence(now time.Time) (lrcanary.Evidence, string) {
	if s.relayOf(now, s.Self.Zone) != nil {
		return maps.Clone(s.relayEvidence.evidence), s.relayEvidence.process
	}
	evidence := s.memberEvidence.sum("")
	evidence.Add(s.zoneEvidence.sum(""))
	return evidence, s.Self.Process
}

// applyReleases passes the evidence and the gauges of the other instances to the board.
func (s *Sharer) applyReleases(now time.Time, others totals) {
	orders := s.Releases.Orders()
	s.mutex.Lock()
	s.memberEvidence.keep(orders)
	s.zoneEvidence.keep(orders)
	var evidence lrcanary.Evidence
	source := ""
	if len(orders) > 0 {
		evidence, source = s.othersEvidence(now)
	}
	s.mutex.Unlock()
	if source != "" {
		s.Releases.SetOthers(source, evidence, others.rollouts, others.reached)
	}
}
