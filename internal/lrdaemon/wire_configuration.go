package lrdaemon

import "github.com/lavenderrouter/lavenderrouter/internal/lrstate"

// wireConfiguration makes the follower of the shared configuration.
func (d *Daemon) wireConfiguration() {
	d.follower = lrstate.NewFollower(d.platform, d.log)
	d.supervisor.Add("followConfiguration", d.follower.Run)
}
