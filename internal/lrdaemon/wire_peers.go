package lrdaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

// wirePeers makes the server for the other instances, the connections to them, the roster and the list of instances.
func (d *Daemon) wirePeers() {
	s := d.settings
	d.peers = grpc.NewServer(lrpeer.ServerOptions(d.transports.peerServer, d.peerCallPanicked)...)
	d.pool = lrpeer.NewPool(d.transports.peerClient)
	self := lrpeer.Member{
		Name: s.Instance.Name, Zone: s.Instance.Zone, PeerAddress: s.Instance.PeerAddress,
		Incarnation: uint64(d.started.UnixNano()),
	}
	d.membership = lrpeer.NewMembership(self, lrpeer.NewExchanger(d.pool), lrpeer.Options{
		Interval: s.Peers.HeartbeatInterval, Fanout: s.Peers.Fanout, Seeds: s.Peers.Seeds,
		Clock: d.clock, Random: newRandom(), Log: d.log,
	})
	d.roster = d.membership
	d.listing = lrpeer.NewListing(d.platform, d.roster, d.pool, lrpeer.ListingOptions{
		Readers: s.Peers.WatchersPerZone, Seeds: s.Peers.Seeds, Patience: listPatience * s.Platform.ListInterval,
		Clock: d.clock, Random: newRandom(),
	})
	d.listing.OnChange(func(now time.Time, instances []lrplatform.Instance) {
		d.membership.SetListed(instances)
		d.registry.SetInstances(now, instances)
	})
	d.membership.SetListing(d.listing)
	lrpeerpb.RegisterMembershipServer(d.peers, lrpeer.NewMembershipService(d.membership, d.listing))
	d.supervisor.Add("exchangeHeartbeats", d.membership.Run)
	d.supervisor.Add("refreshListing", lrsupervise.Every(s.Platform.ListInterval/listReadsPerInterval, d.listing.Refresh))
	d.supervisor.Add("retainConnections", lrsupervise.Every(retainInterval, d.retainConnections))
	d.supervisor.Add("pullListing", d.listing.Pull)
	d.beforeExit = append(d.beforeExit, d.membership.Leave)
}

const (
	// listPatience is the number of list intervals after which an instance reads a list that no peer renews itself.
	listPatience = 10
	// listReadsPerInterval makes a change pass a reader and a peer within one interval.
	listReadsPerInterval = 2
	// listingWait is how long the start waits for a list of the instances that can be asked.
	listingWait = 300 * time.Millisecond
	listingPoll = 10 * time.Millisecond
	// retainInterval is the time between two closings of connections to instances that are gone.
	retainInterval = time.Minute
)

// retainConnections closes the connections to instances that are neither alive nor listed nor seeds.
func (d *Daemon) retainConnections(ctx context.Context, _ time.Time) {
	known := map[string]bool{}
	for _, seed := range d.settings.Peers.Seeds {
		known[seed] = true
	}
	for _, m := range d.roster.Members() {
		known[m.PeerAddress] = true
	}
	instances, _ := d.listing.Instances(ctx)
	for _, i := range instances {
		known[i.PeerAddress] = true
	}
	d.pool.Retain(known)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// candidates returns the instances that can be asked: the live members, those on the list, and the seeds.
func (d *Daemon) candidates(ctx context.Context) []lrpeer.Member {
	candidates := d.roster.Members()
	if len(candidates) > 1 {
		return candidates
	}
	known := map[string]bool{d.settings.Instance.PeerAddress: true}
	for _, i := range d.awaitListing(ctx) {
		if i.Role == lrplatform.RoleRouter && !known[i.PeerAddress] {
			known[i.PeerAddress] = true
			candidates = append(candidates, lrpeer.Member{Name: i.Name, Zone: i.Zone, PeerAddress: i.PeerAddress})
		}
	}
	for _, seed := range d.settings.Peers.Seeds {
		if !known[seed] {
			known[seed] = true
			candidates = append(candidates, lrpeer.Member{Name: seed, PeerAddress: seed})
		}
	}
	return candidates
}

func (d *Daemon) awaitListing(ctx context.Context) []lrplatform.Instance {
	ctx, cancel := context.WithTimeout(ctx, listingWait)
	defer cancel()
	ticker := time.NewTicker(listingPoll)
	defer ticker.Stop()
	for {
		instances, err := d.listing.Instances(ctx)
		if err == nil {
			return instances
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// peerCallPanicked notes that a call of another instance met a fault of the program.
func (d *Daemon) peerCallPanicked(method string, value any) {
	d.metrics.Violations.WithLabelValues("peerCallWithoutPanic").Inc()
	d.log.Error().Str("method", method).Str("panic", fmt.Sprint(value)).Msg("peers: call failed")
}
