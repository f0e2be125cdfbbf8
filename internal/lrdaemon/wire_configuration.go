package lrdaemon

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstate"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrconfig"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrpause"
)

const (
	// pauseBound is the silence of the process from which on it confirms its configuration before it accepts keys.
	pauseBound = time.Second
	// pauseTick is the time between two looks at the clock.
	pauseTick = 200 * time.Millisecond
	// turnDelay is the time by which each next member of a zone waits longer before it reads from the platform.
	turnDelay = 200 * time.Millisecond
)

// wireConfiguration makes the follower of the shared configuration and the relay that feeds it.
func (d *Daemon) wireConfiguration() {
	s := d.settings
	now := d.clock()
	d.freshness = lrstate.NewFreshness(now, lrpause.NewDetector(now, pauseBound), s.Keys.StaleBound)
	d.follower = lrstate.NewFollower(d.log, func(invariant string) {
		d.metrics.Violations.WithLabelValues(invariant).Inc()
	})
	d.relay = lrstate.NewRelay(d.follower, d.platform, lrstate.NewPeers(d.pool), d.roster, lrstate.RelayOptions{
		WatchersPerZone: s.Peers.WatchersPerZone, Fanout: s.Peers.Fanout, WatchInterval: s.Peers.HeartbeatInterval,
		TurnDelay: turnDelay, Candidates: d.candidates, OnPlatform: func() { d.freshness.Contacted(d.clock()) }, Log: d.log, Random: newRandom(),
	})
	d.follower.OnChange(func(snapshot *lrconfig.Snapshot) { d.membership.SetConfigVersion(snapshot.Version()) })
	d.membership.OnPeer(func(now time.Time, peer lrpeer.Member) {
		d.freshness.Contacted(now)
		d.relay.Offer(peer.PeerAddress, peer.ConfigVersion)
	})
	lrpeerpb.RegisterConfigurationServer(d.peers, lrstate.NewConfigurationService(d.follower, d.relay))
	d.supervisor.Add("startConfiguration", d.relay.Start)
	d.supervisor.Add("watchConfiguration", d.relay.Watch)
	d.supervisor.Add("pullConfiguration", d.relay.Pull)
	d.supervisor.Add("announceConfiguration", d.relay.Announce)
	d.supervisor.Add("checkConfiguration", d.relay.Check)
	d.supervisor.Add("confirmAfterPause", lrsupervise.Every(pauseTick, d.confirmAfterPause))
}

// confirmAfterPause compares the configuration with others when the process has been paused.
func (d *Daemon) confirmAfterPause(ctx context.Context, now time.Time) {
	epoch, unconfirmed := d.freshness.Unconfirmed(now)
	if !unconfirmed {
		return
	}
	d.log.Warn().Msg("state: the process was paused, confirming the configuration")
	if d.relay.Confirm(ctx) {
		d.freshness.Confirm(epoch)
	}
}
