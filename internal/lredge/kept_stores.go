package lredge

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
)

// wireKept makes the instance look at the kept stores, where it is the first of its availability zone.
func (d *Daemon) wireKept() {
	d.kept = lrfleet.NewKeptWatch(lrfleet.KeptParts{
		Prober: d.ports.Kept, Stores: d.keptStores, IsWatcher: func() bool { return d.sharer.IsFirstOfZone() },
		OnRestart: d.balancer.ForgetStore, Go: d.supervisor.Go, Clock: d.clock, Log: d.log,
	})
	d.supervisor.Add("watchKeptStore", lrsupervise.Every(lrfleet.KeptProbePeriod, d.kept.Step))
}

// keptStores returns the kept stores.
func (d *Daemon) keptStores() []lrfleet.KeptStore {
	table := d.directory.Table()
	if table == nil {
		return nil
	}
	var stores []lrfleet.KeptStore
	for _, s := range table.KeptStores() {
		stores = append(stores, lrfleet.KeptStore{Address: s.Address, Capacity: s.Capacity})
	}
	return stores
}
