// Package lrquarantine spreads among the instances which requests crash engines.
package lrquarantine

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrring"
)

const (
	ringCapacity = 1024
	// spreadTimeout bounds the time that a failed request waits for the other instances to know of its quarantine.
	spreadTimeout    = 250 * time.Millisecond
	maxParallelCalls = 64
)

// A Service is the ledger of this instance, joined to those of the others. It is safe for use by several goroutines.
type Service struct {
	lrpeerpb.UnimplementedQuarantineServer
	*lrquarantine.Ledger
	options Options
	// pending are the crashes that the other instances or the platform have yet to hear of.
	pending *lrring.Ring[decision]
}

// Options are what a Service works with.
type Options struct {
	Ledger lrquarantine.Options
	Roster lrpeer.Roster
	Pool   *lrpeer.Pool
	Store  lrplatform.Store
	Clock  func() time.Time
	Log    zerolog.Logger
}

// decision is a crash and what this instance has decided on it.
type decision struct {
	crash lrquarantine.Crash
	state lrquarantine.State
}

// NewService returns a Service that trusts every request.
func NewService(options Options) *Service {
	return &Service{
		Ledger: lrquarantine.NewLedger(options.Ledger), options: options, pending: lrring.New[decision](ringCapacity),
	}
}

// Begin reports whether the request runs isolated on the server, and whether it may run there now. No two connected
// instances run suspects on one server at the same time.
func (s *Service) Begin(now time.Time, digest, server string) (isolated, ok bool) {
	isolated, ok = s.Ledger.Begin(now, digest, server)
	if !isolated || !ok {
		return isolated, ok
	}
	if !s.askPeers(digest, server) {
		s.End(digest, server, false)
		return false, false
	}
	s.Hold(digest, server)
	return true, true
}

// Isolate answers another instance that wants to run a suspect on a server.
func (s *Service) Isolate(_ context.Context, request *lrpeerpb.IsolateRequest) (*lrpeerpb.IsolateReply, error) {
	goesFirst := request.GetDaemon() < s.options.Roster.Self().Name
	return &lrpeerpb.IsolateReply{Granted: s.Grant(s.options.Clock(), request.GetServer(), goesFirst)}, nil
}

// askPeers reports whether no instance that answers in time runs a suspect on the server.
func (s *Service) askPeers(digest, server string) bool {
	var denied atomic.Bool
	request := &lrpeerpb.IsolateRequest{Server: server, Digest: digest, Daemon: s.options.Roster.Self().Name}
	_ = s.callPeers(context.Background(), func(ctx context.Context, peer lrpeerpb.QuarantineClient) error {
		reply, err := peer.Isolate(ctx, request)
		if err == nil && !reply.GetGranted() {
			denied.Store(true)
		}
		return err
	})
	return !denied.Load()
}

// Crashed takes in a crash that this instance has seen. When it returns that the request is quarantined, every instance
// that could be reached in time knows so too.
func (s *Service) Crashed(ctx context.Context, now time.Time, crash lrquarantine.Crash) lrquarantine.State {
	decided := decision{crash: crash, state: s.Ledger.Report(now, crash)}
	if decided.state == lrquarantine.Quarantined {
		s.options.Log.Error().Str("digest", crash.Digest).Str("attempt", crash.AttemptID).Str("engine", crash.Server).
			Msg("quarantine: request crashed its second engine, refusing it")
		s.tellPeers(context.WithoutCancel(ctx), decided)
	}
	if !s.pending.Push(decided) {
		s.options.Log.Warn().Str("digest", crash.Digest).Msg("quarantine: too many crashes at once, one was not spread")
	}
	return decided.state
}

// Run spreads crashes until the context ends.
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
		s.tellPeers(ctx, decided)
	}
}

// Report takes in a crash that another instance has seen.
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

func (s *Service) tellPeers(ctx context.Context, decided decision) {
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

// callPeers calls every other instance, for a bounded time, and returns the first error.
func (s *Service) callPeers(ctx context.Context, call func(ctx context.Context, peer lrpeerpb.QuarantineClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, m := range s.options.Roster.Members() {
		if m.Name == s.options.Roster.Self().Name {
			continue
		}
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
