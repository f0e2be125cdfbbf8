package lrdaemon

import "github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"

// wireLimits makes the limiter of client accounts.
func (d *Daemon) wireLimits() {
	d.limiter = lrlimit.NewLocal(1)
}
