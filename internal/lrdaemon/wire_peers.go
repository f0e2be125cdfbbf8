package lrdaemon

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

// wirePeers makes the server for the other instances, the connections to them and the roster.
func (d *Daemon) wirePeers() {
	d.peers = grpc.NewServer()
	d.pool = lrpeer.NewPool(insecure.NewCredentials())
	self := lrpeer.Member{
		Name: d.settings.Instance.Name, Zone: d.settings.Instance.Zone, PeerAddress: d.settings.Instance.PeerAddress,
		Incarnation: uint64(d.started.UnixNano()),
	}
	roster := lrpeer.NewDirectoryRoster(self, d.platform)
	d.roster = roster
	d.supervisor.Add("refreshRoster", lrsupervise.Every(d.settings.Platform.ListInterval, roster.Refresh))
}
