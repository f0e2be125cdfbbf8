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

// wirePeers creates the gRPC server for other instances, the connections to them, the membership and the list of instances.
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
	d.members = d.membership
	d.instanceList = lrpeer.NewInstanceList(d.platform, d.members, d.pool, lrpeer.InstanceListOptions{
		Readers: s.Peers.WatchersPerZone, Seeds: s.Peers.Seeds, MaxAge: maxListAgeIntervals * s.Platform.ListInterval,
		Clock: d.clock, Random: newRandom(),
	})
	d.instanceList.OnChange(func(now time.Time, instances []lrplatform.Instance) {
		d.membership.SetListed(instances)
		d.registry.SetInstances(now, instances)
	})
	d.membership.SetInstanceList(d.instanceList)
	lrpeerpb.RegisterMembershipServer(d.peers, lrpeer.NewMembershipService(d.membership, d.instanceList))
	d.supervisor.Add("exchangeHeartbeats", d.membership.Run)
	d.supervisor.Add("refreshListing", lrsupervise.Every(s.Platform.ListInterval/listReadsPerInterval, d.instanceList.Refresh))
	d.supervisor.Add("retainConnections", lrsupervise.Every(closeUnusedInterval, d.retainConnections))
	d.supervisor.Add("pullListing", d.instanceList.Pull)
	d.exitHooks = append(d.exitHooks, d.membership.Leave)
}

const (
	// maxListAgeIntervals is the number of list intervals after which an instance reads the list from the platform itself, if no
	// peer has refreshed it.
	maxListAgeIntervals = 10
	// listReadsPerInterval is the number of reads in a list interval. With two, a change reaches an instance within one
	// interval although it passes through a reader.
	listReadsPerInterval = 2
	// listWaitTimeout is the time that the start waits for a list of instances to ask for the configuration and views.
	listWaitTimeout  = 300 * time.Millisecond
	listPollInterval = 10 * time.Millisecond
	// closeUnusedInterval is the time between two runs that close connections to removed instances.
	closeUnusedInterval = time.Minute
)

// retainConnections closes the connections to instances that are neither live members nor listed nor seeds.
func (d *Daemon) retainConnections(ctx context.Context, _ time.Time) {
	known := map[string]bool{}
	for _, seed := range d.settings.Peers.Seeds {
		known[seed] = true
	}
	for _, m := range d.members.Members() {
		known[m.PeerAddress] = true
	}
	instances, _ := d.instanceList.Instances(ctx)
	for _, i := range instances {
		known[i.PeerAddress] = true
	}
	d.pool.Retain(known)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// candidates returns the instances to read shared state from: the live members, or while no other member is known, the
// listed instances and the seeds.
func (d *Daemon) candidates(ctx context.Context) []lrpeer.Member {
	candidates := d.members.Members()
	if len(candidates) > 1 {
		return candidates
	}
	known := map[string]bool{d.settings.Instance.PeerAddress: true}
	for _, i := range d.awaitInstanceList(ctx) {
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

func (d *Daemon) awaitInstanceList(ctx context.Context) []lrplatform.Instance {
	ctx, cancel := context.WithTimeout(ctx, listWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	for {
		instances, err := d.instanceList.Instances(ctx)
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

// peerCallPanicked records a panic in the handler of a call from another instance.
func (d *Daemon) peerCallPanicked(method string, value any) {
	d.metrics.Violations.WithLabelValues("peerCallWithoutPanic").Inc()
	d.log.Error().Str("method", method).Str("panic", fmt.Sprint(value)).Msg("peers: call failed")
}
