// Package lrquarantine shares among the instances which requests crash engines.
//
// A request that was in flight on an engine that crashed is a suspect. It runs isolated, that is without other suspects on
// its engine. A request that crashes a second engine is quarantined: all instances refuse it. The rules are in the package
// of the same name under pkg. This package sends crashes to the other instances, asks them before an isolated run,
// and stores quarantines in the platform.
package lrquarantine

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrfifo"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

const (
	pendingCapacity = 1024
	// peerCallTimeout bounds the time that a request waits for the other instances, both before an isolated run and when a
	// quarantine is reported to them.
	peerCallTimeout  = 250 * time.Millisecond
	maxParallelCalls = 64
)

// A Service is the record of crashes of this instance, synchronized with those of the other instances. It is safe for use by
// several goroutines.
type Service struct {
	lrpeerpb.UnimplementedQuarantineServer
	*lrquarantine.Ledger
	// Parts judges the parts of prompts.
	Parts   *lrquarantine.Tracker
	options Options
	// pending is the queue of crashes to report to the other instances and of quarantines to store in the platform.
	pending *lrfifo.Queue[decision]
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Ledger     lrquarantine.Options
	Membership lrpeer.MemberSource
	Pool       *lrpeer.Pool
	Store      lrplatform.Store
	Clock      func() time.Time
	Log        zerolog.Logger
}

// decision is a crash and the state that this instance has decided for its request.
type decision struct {
	crash lrquarantine.Crash
	state lrquarantine.State
}

// NewService returns a Service without any suspect or quarantined request.
func NewService(options Options) *Service {
	s := &Service{
		Ledger: lrquarantine.NewLedger(options.Ledger), options: options, pending: lrfifo.New[decision](pendingCapacity),
	}
	parts := DefaultPartOptions(options.Membership.Self().Name)
	parts.OnDecision = s.logVerdict
	s.Parts = lrquarantine.NewTracker(options.Clock(), parts)
	return s
}

// Begin records that the request is about to run on the server. It reports whether the request runs isolated, and whether it
// may run there now. No two instances that can reach each other run suspects on one server at the same time.
func (s *Service) Begin(now time.Time, digest, server string) (isolated, ok bool) {
	isolated, ok = s.Ledger.Begin(now, digest, server)
	if !isolated || !ok {
		return isolated, ok
	}
	if !s.isGrantedByPeers(digest, server) {
		s.End(digest, server, false)
		return false, false
	}
	s.ConfirmIsolation(digest, server)
	return true, true
}

// Isolate answers another instance that asks whether it may run a suspect on a server. Of two instances that ask at the same
// time, the one with the lower name has precedence.
func (s *Service) Isolate(_ context.Context, request *lrpeerpb.IsolateRequest) (*lrpeerpb.IsolateReply, error) {
	hasPrecedence := request.GetDaemon() < s.options.Membership.Self().Name
	return &lrpeerpb.IsolateReply{Granted: s.Grant(s.options.Clock(), request.GetServer(), hasPrecedence)}, nil
}

// isGrantedByPeers reports whether no other instance denies the run of a suspect on the server. An instance that does not
// answer in time denies nothing.
func (s *Service) isGrantedByPeers(digest, server string) bool {
	var denied atomic.Bool
	request := &lrpeerpb.IsolateRequest{Server: server, Digest: digest, Daemon: s.options.Membership.Self().Name}
	_ = s.callPeers(context.Background(), func(ctx context.Context, peer lrpeerpb.QuarantineClient) error {
		reply, err := peer.Isolate(ctx, request)
		if err == nil && !reply.GetGranted() {
			denied.Store(true)
		}
		return err
	})
	return !denied.Load()
}

// Crashed applies a crash that this instance has observed and returns the new state of the request. When that is
// Quarantined, every instance that could be reached in time knows it too.
func (s *Service) Crashed(ctx context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State {
	decided := decision{crash: crash, state: s.Ledger.Report(now, crash)}
	if decided.state == lrquarantine.Quarantined {
		s.options.Log.Error().Str("digest", crash.Digest).Str("attempt", crash.AttemptID).Str("engine", crash.Server).
			Msg("quarantine: request crashed its second engine, refusing it")
		s.reportToPeers(context.WithoutCancel(ctx), decided)
	}
	if !s.pending.Push(decided) {
		s.options.Log.Warn().Str("digest", crash.Digest).Msg("quarantine: too many crashes at once, one was not spread")
	}
	return decided.state
}

// Run reports crashes to the other instances and stores quarantines in the platform until the context ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		decided, err := s.pending.Pop(ctx)
		if err != nil {
			return nil
		}
		if decided.state == lrquarantine.Quarantined {
			s.save(ctx, decided)
			continue
		}
		s.reportToPeers(ctx, decided)
	}
}

// Report applies a crash that another instance has observed.
func (s *Service) Report(_ context.Context, report *lrpeerpb.CrashReport) (*lrpeerpb.CrashReply, error) {
	now := s.options.Clock()
	crash := lrquarantine.Crash{
		Digest: report.GetDigest(), Server: report.GetServer(), Incarnation: report.GetIncarnation(),
		AttemptID: report.GetAttemptId(), Isolated: report.GetIsolated(),
	}
	if report.GetQuarantined() {
		s.Restore(now, crash, s.options.Ledger.QuarantineValidity)
	} else {
		s.Ledger.Report(now, crash)
	}
	return &lrpeerpb.CrashReply{Quarantined: s.State(now, crash.Digest) == lrquarantine.Quarantined}, nil
}

func (s *Service) reportToPeers(ctx context.Context, decided decision) {
	report := &lrpeerpb.CrashReport{
		Digest: decided.crash.Digest, Server: decided.crash.Server, Incarnation: decided.crash.Incarnation,
		AttemptId: decided.crash.AttemptID, Isolated: decided.crash.Isolated, Quarantined: decided.state == lrquarantine.Quarantined,
	}
	err := s.callPeers(ctx, func(ctx context.Context, peer lrpeerpb.QuarantineClient) error {
		_, err := peer.Report(ctx, report)
		return err
	})
	if err != nil {
		s.options.Log.Warn().Err(err).Str("digest", decided.crash.Digest).Msg("quarantine: not every instance heard of the crash")
	}
}

// callPeers calls every other instance, within peerCallTimeout, and returns the first error.
func (s *Service) callPeers(ctx context.Context, call func(ctx context.Context, peer lrpeerpb.QuarantineClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, m := range s.others() {
		group.Go(func() error {
			connection, err := s.options.Pool.Connection(m.PeerAddress)
			if err != nil {
				return err
			}
			return call(ctx, lrpeerpb.NewQuarantineClient(connection))
		})
	}
	return group.Wait()
}

// others returns the members but for this instance.
func (s *Service) others() []lrpeer.Member {
	self := s.options.Membership.Self().Name
	return slices.DeleteFunc(slices.Clone(s.options.Membership.Members()), func(m lrpeer.Member) bool { return m.Name == self })
}
