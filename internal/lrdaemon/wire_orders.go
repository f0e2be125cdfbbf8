package lrdaemon

import (
	"github.com/lavenderrouter/lavenderrouter/internal/lrorders"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
)

// wireOrders creates the duty that orders engines to load and unload versions of weights.
func (d *Daemon) wireOrders() {
	s := d.settings.Orders
	d.orders = lrorders.NewController(lrorders.Dependencies{
		Store: d.platform, Engines: d.registry, DesiredModels: d.desiredModels, Clock: d.clock, Log: d.log,
	}, lrorders.Options{
		Instance: d.settings.Instance.Name, Zone: d.settings.Instance.Zone, LeaseValidity: s.LeaseValidity, TurnInterval: s.Turn(),
		Times: lrorder.Timeouts{CallTimeout: s.CallTimeout, ValidFor: s.ValidFor}, SettleTime: s.Settle,
	}, d.members)
	d.supervisor.Add("giveOrders", lrsupervise.Every(s.Interval, d.orders.Step))
	d.exitHooks = append(d.exitHooks, d.orders.Stop)
}

func (d *Daemon) desiredModels() []lrorder.Model {
	catalog := d.follower.Snapshot().Catalog()
	models := make([]lrorder.Model, 0, len(catalog.Models))
	for _, m := range catalog.Models {
		models = append(models, lrorder.Model{
			Name: m.Name, Version: m.Version, ServedVersion: d.registry.ServedVersion(m.Name), Adapters: m.Adapters,
		})
	}
	return models
}
