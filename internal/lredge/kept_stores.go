package lredge

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// wireKept makes the instance look at the kept stores, where it is the first of its availability zone.
func (d *Daemon) wireKept() {
	d.kept = lrfleet.NewKeptWatch(lrfleet.KeptParts{
		Prober: d.ports.Kept, Stores: d.keptStores, IsWatcher: func() bool { return d.sharer.IsFirstOfZone() },
		OnRestart: func(address string) { d.balancer.Forget(lrbalance.StoreName(address)) }, Go: d.supervisor.Go, Clock: d.clock, Log: d.log,
	})
	d.supervisor.Add("watchKeptStore", lrsupervise.Every(lrfleet.KeptProbePeriod, d.kept.Step))
}

// keptStores returns the kept stores. There are none before the first routing table.
func (d *Daemon) keptStores() []lrtable.KeptStore {
	table := d.directory.Table()
	if table == nil {
		return nil
	}
	return table.KeptStores()
}
