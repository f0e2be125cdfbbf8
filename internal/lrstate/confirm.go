package lrstate

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmember"
)

const (
	// confirmPeers is the number of peers whose version is compared with that of the platform.
	confirmPeers   = 4
	confirmTimeout = time.Second
	maxTurnDelay   = 2 * time.Second
)

// answer is the head of one source that has answered.
type answer struct {
	source   Source
	head     lrconfig.Head
	platform bool
}

// Ready is closed when the instance has the highest version of the sources that it can reach.
func (r *Relay) Ready() <-chan struct{} { return r.ready }

// Start takes the highest version of the platform and peers into force. It is a duty of the supervisor, and idle when
// it has succeeded.
func (r *Relay) Start(ctx context.Context) error {
	retry := firstRetryDelay
	for ctx.Err() == nil {
		if r.Confirm(ctx) {
			close(r.ready)
			<-ctx.Done()
			return nil
		}
		lrsupervise.Sleep(ctx, r.jitter(retry))
		retry = min(2*retry, maxRetryDelay)
	}
	return nil
}

// Confirm compares the version in force with those of the platform and a few peers, and takes the highest one into
// force. It reports whether any of them answered.
func (r *Relay) Confirm(ctx context.Context) bool {
	candidates := r.options.Candidates(ctx)
	answers := r.ask(ctx, candidates)
	if len(answers) == 0 {
		return false
	}
	highest := slices.MaxFunc(answers, func(a, b answer) int { return cmp.Compare(a.head.Version, b.head.Version) })
	if highest.head.Version == 0 && r.follower.Snapshot().Version() == 0 {
		return slices.ContainsFunc(answers, func(a answer) bool { return a.platform })
	}
	err := r.follower.Accept(ctx, highest.head, func(ctx context.Context, digests []string) (map[string][]byte, error) {
		return r.gather(ctx, digests, candidates)
	})
	if err != nil {
		r.options.Log.Warn().Err(err).Msg("state: configuration not read, trying again")
	}
	return err == nil
}

// ask returns the heads of the platform and of a few candidates.
func (r *Relay) ask(ctx context.Context, candidates []lrpeer.Member) []answer {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r.mutex.Lock()
	chosen := lrmember.NewSchedule(r.options.Random).Spread(r.roster.Self(), candidates, confirmPeers)
	r.mutex.Unlock()
	base := r.follower.Snapshot().Head()
	answers := make([]answer, len(chosen)+1)
	var group sync.WaitGroup
	group.Go(func() {
		head, err := r.platform.Head(ctx, base)
		if err == nil {
			r.options.OnPlatform()
			answers[0] = answer{source: r.platform, head: head, platform: true}
		}
	})
	for n, c := range chosen {
		group.Go(func() {
			source := r.peers.Source(c.PeerAddress)
			head, err := source.Head(ctx, base)
			if err == nil {
				answers[n+1] = answer{source: source, head: head}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(answers, func(a answer) bool { return a.source == nil })
}

// turn returns how long the instance waits for its peers before it reads shards from the platform. The first of all
// does not wait, then come the first ones of each zone.
func (r *Relay) turn(candidates []lrpeer.Member) time.Duration {
	self := r.roster.Self()
	if lrmember.First(candidates).Name == self.Name {
		return 0
	}
	return min(r.options.TurnDelay*time.Duration(1+lrmember.Rank(candidates, self)), maxTurnDelay)
}

// holders returns the candidates that are asked for shards: the first of all by the first ones of each zone, and a few
// others by everybody, so that no instance has to serve the whole fleet.
func (r *Relay) holders(candidates []lrpeer.Member) []lrpeer.Member {
	self := r.roster.Self()
	r.mutex.Lock()
	chosen := lrmember.NewSchedule(r.options.Random).Spread(self, candidates, confirmPeers)
	r.mutex.Unlock()
	first := lrmember.First(candidates)
	if lrmember.Rank(candidates, self) > 0 || first.Name == self.Name {
		return chosen
	}
	return append([]lrpeer.Member{first}, chosen...)
}

// gather reads shards from peers, and from the platform what no peer has had when it is the turn of the instance.
func (r *Relay) gather(ctx context.Context, digests []string, candidates []lrpeer.Member) (map[string][]byte, error) {
	patient, cancel := context.WithTimeout(ctx, r.turn(candidates))
	defer cancel()
	values := map[string][]byte{}
	for {
		digests = r.gatherFromPeers(ctx, digests, candidates, values)
		if len(digests) == 0 || patient.Err() != nil {
			break
		}
		lrsupervise.Sleep(patient, r.jitter(firstRetryDelay))
	}
	if len(digests) == 0 {
		return values, nil
	}
	rest, err := r.platform.Shards(ctx, digests)
	maps.Copy(values, rest)
	return values, err
}

// gatherFromPeers adds the values that a few candidates have and returns the digests that are still missing.
func (r *Relay) gatherFromPeers(ctx context.Context, digests []string, candidates []lrpeer.Member, values map[string][]byte) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	chosen := r.holders(candidates)
	for _, c := range chosen {
		got, err := r.peers.Source(c.PeerAddress).Shards(ctx, digests)
		if err != nil {
			continue
		}
		maps.Copy(values, got)
		digests = slices.DeleteFunc(slices.Clone(digests), func(d string) bool {
			_, ok := got[d]
			return ok
		})
		if len(digests) == 0 {
			break
		}
	}
	return digests
}
