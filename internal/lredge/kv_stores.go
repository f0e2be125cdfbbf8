package lredge

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// wireKVStores makes the instance probe the KV stores if it is the first of its availability zone.
func (d *Daemon) wireKVStores() {
	d.kvStoreWatch = lrfleet.NewKVStoreWatch(lrfleet.KVStoreWatchDependencies{
		Prober: d.ports.KVStores, Stores: d.kvStores, IsWatcher: func() bool { return d.sharer.IsFirstOfZone() },
		OnRestart: func(address string) { d.balancer.Forget(lrbalance.StoreName(address)) }, Go: d.supervisor.Go, Clock: d.clock, Log: d.log,
	})
	d.supervisor.Add("watchKeptStore", lrsupervise.Every(lrfleet.KVProbePeriod, d.kvStoreWatch.Step))
}

// kvStores returns the KV stores of the routing table. There are none before the first table.
func (d *Daemon) kvStores() []lrtable.KVStore {
	table := d.directory.Table()
	if table == nil {
		return nil
	}
	return table.KVStores()
}
