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
	// maxConfirmPeers is the most peers whose version is compared with that of the platform.
	maxConfirmPeers      = 4
	confirmTimeout       = time.Second
	maxPlatformReadDelay = 2 * time.Second
)

// headReply is the head that one source has returned.
type headReply struct {
	source   Source
	head     lrconfig.Head
	platform bool
}

// Ready returns a channel that is closed when the instance has the highest version of the sources that it can reach.
func (r *Relay) Ready() <-chan struct{} { return r.ready }

// Start activates the highest version of the platform and peers, and retries until that succeeds. The supervisor runs it
// until the context ends.
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

// Confirm compares the active version with those of the platform and a few peers, and activates the highest one. It
// reports whether the configuration is confirmed: a source answered and the highest version could be read. An empty
// configuration is confirmed only by the platform, since a peer may not have read it yet either.
func (r *Relay) Confirm(ctx context.Context) bool {
	candidates := r.options.Candidates(ctx)
	answers := r.fetchHeads(ctx, candidates)
	if len(answers) == 0 {
		return false
	}
	highest := slices.MaxFunc(answers, func(a, b headReply) int { return cmp.Compare(a.head.Version, b.head.Version) })
	if highest.head.Version == 0 && r.follower.Snapshot().Version() == 0 {
		return slices.ContainsFunc(answers, func(a headReply) bool { return a.platform })
	}
	err := r.follower.Accept(ctx, highest.head, func(ctx context.Context, digests []string) (map[string][]byte, error) {
		return r.fetchShards(ctx, digests, candidates)
	})
	if err != nil {
		r.options.Log.Warn().Err(err).Msg("state: configuration not read, trying again")
	}
	return err == nil
}

// fetchHeads returns the heads of the platform and of a few candidates, without those that could not be read in time.
func (r *Relay) fetchHeads(ctx context.Context, candidates []lrpeer.Member) []headReply {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r.mutex.Lock()
	chosen := lrmember.NewSchedule(r.options.Random).GossipTargets(r.membership.Self(), candidates, maxConfirmPeers)
	r.mutex.Unlock()
	base := r.follower.Snapshot().Head()
	answers := make([]headReply, len(chosen)+1)
	var group sync.WaitGroup
	group.Go(func() {
		head, err := r.platform.Head(ctx, base)
		if err == nil {
			r.options.OnPlatform()
			answers[0] = headReply{source: r.platform, head: head, platform: true}
		}
	})
	for n, c := range chosen {
		group.Go(func() {
			source := r.peers.Source(c.PeerAddress)
			head, err := source.Head(ctx, base)
			if err == nil {
				answers[n+1] = headReply{source: source, head: head}
			}
		})
	}
	group.Wait()
	return slices.DeleteFunc(answers, func(a headReply) bool { return a.source == nil })
}

// platformReadDelay returns how long the instance tries its peers before it reads shards from the platform. The first of
// all instances does not wait, and each next rank within a zone waits longer, so that few instances read from the platform.
func (r *Relay) platformReadDelay(candidates []lrpeer.Member) time.Duration {
	self := r.membership.Self()
	if lrmember.FirstMember(candidates).Name == self.Name {
		return 0
	}
	return min(r.options.PlatformReadDelay*time.Duration(1+lrmember.WatchRank(candidates, self)), maxPlatformReadDelay)
}

// shardPeers returns the candidates that are asked for shards: a few for every instance, and for the first instance of each
// zone also the first of all instances. So no instance has to serve the whole fleet.
func (r *Relay) shardPeers(candidates []lrpeer.Member) []lrpeer.Member {
	self := r.membership.Self()
	r.mutex.Lock()
	chosen := lrmember.NewSchedule(r.options.Random).GossipTargets(self, candidates, maxConfirmPeers)
	r.mutex.Unlock()
	first := lrmember.FirstMember(candidates)
	if lrmember.WatchRank(candidates, self) > 0 || first.Name == self.Name {
		return chosen
	}
	return append([]lrpeer.Member{first}, chosen...)
}

// fetchShards reads shards from peers, and after this instance's delay reads from the platform what no peer had.
func (r *Relay) fetchShards(ctx context.Context, digests []string, candidates []lrpeer.Member) (map[string][]byte, error) {
	peersCtx, cancel := context.WithTimeout(ctx, r.platformReadDelay(candidates))
	defer cancel()
	values := map[string][]byte{}
	for {
		digests = r.fetchShardsFromPeers(ctx, digests, candidates, values)
		if len(digests) == 0 || peersCtx.Err() != nil {
			break
		}
		lrsupervise.Sleep(peersCtx, r.jitter(firstRetryDelay))
	}
	if len(digests) == 0 {
		return values, nil
	}
	rest, err := r.platform.Shards(ctx, digests)
	maps.Copy(values, rest)
	return values, err
}

// fetchShardsFromPeers adds the values that a few candidates have, and returns the digests that are still missing.
func (r *Relay) fetchShardsFromPeers(ctx context.Context, digests []string, candidates []lrpeer.Member, values map[string][]byte) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	chosen := r.shardPeers(candidates)
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
