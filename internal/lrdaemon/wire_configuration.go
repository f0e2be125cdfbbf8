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
	// pauseThreshold is the length of a pause of the process after which it must confirm its configuration before it accepts
	// keys, since a key may have been withdrawn meanwhile.
	pauseThreshold = time.Second
	// pauseCheckInterval is the time between two checks for a pause of the process.
	pauseCheckInterval = 200 * time.Millisecond
	// platformReadDelay is added to the wait before a read from the platform for each next member of a zone.
	platformReadDelay = 200 * time.Millisecond
)

// wireConfiguration creates the follower, which applies the shared configuration, and the relay, which reads it from the
// platform and from peers.
func (d *Daemon) wireConfiguration() {
	s := d.settings
	now := d.clock()
	d.freshness = lrstate.NewFreshness(now, lrpause.NewDetector(now, pauseThreshold), s.Keys.StaleBound)
	d.follower = lrstate.NewFollower(d.log, func(invariant string) {
		d.metrics.Violations.WithLabelValues(invariant).Inc()
	})
	d.relay = lrstate.NewRelay(d.follower, d.platform, lrstate.NewPeers(d.pool), d.members, lrstate.RelayOptions{
		WatchersPerZone: s.Peers.WatchersPerZone, Fanout: s.Peers.Fanout, WatchInterval: s.Peers.HeartbeatInterval,
		PlatformReadDelay: platformReadDelay, Candidates: d.candidates, OnPlatform: func() { d.freshness.Contacted(d.clock()) }, Log: d.log, Random: newRandom(),
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
	d.supervisor.Add("restoreConfiguration", d.relay.Restore)
	d.supervisor.Add("confirmAfterPause", lrsupervise.Every(pauseCheckInterval, d.confirmAfterPause))
}

// confirmAfterPause confirms the configuration with the platform or peers when the process has been paused.
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
