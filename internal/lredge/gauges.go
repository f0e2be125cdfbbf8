package lredge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
)

// registerGauges registers the metrics whose values are computed from the instance's state at each scrape.
func (d *Daemon) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		d.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("lavenderrouter_edge_table_version", "Version of the routing table in force, 0 before the first.", func() float64 {
		table := d.directory.Table()
		if table == nil {
			return 0
		}
		return float64(table.Version())
	})
	gauge("lavenderrouter_edge_servers", "Backend servers that are listed and do not leave.", func() float64 {
		return float64(len(d.directory.All()))
	})
	gauge("lavenderrouter_edge_instances", "Instances that are listed, this one included.", func() float64 {
		return float64(d.sharer.Instances())
	})
	gauge("lavenderrouter_edge_instances_reached", "Instances within reach, this one included.", func() float64 {
		return float64(d.sharer.Reached(d.clock()))
	})
	gauge("lavenderrouter_edge_allowance_share", "Part of all allowances that the instances within reach may use.", d.limiter.Share)
	gauge("lavenderrouter_edge_quarantined", "Requests and parts of prompts that are rejected because servers crash on them.", func() float64 {
		return float64(d.quarantine.Quarantined())
	})
	gauge("lavenderrouter_edge_suspects_omitted", "Suspects of crashes that were left out or forgotten early because there were too many.", func() float64 {
		return float64(d.quarantine.Omitted())
	})
	gauge("lavenderrouter_edge_suspected_servers", "Backend servers that are suspected to have stopped responding.", func() float64 {
		return float64(len(d.responses.Suspected(d.clock())))
	})
	d.registerNoticeGauges()
	d.metrics.registry.MustRegister(releaseCollector{daemon: d})
	gauge("lavenderrouter_edge_outdated_seconds", "How long the engine that is furthest behind has lacked newer weights.", func() float64 {
		return d.directory.LongestOutdated(d.clock()).Seconds()
	})
	gauge("lavenderrouter_edge_kept_stores_down", "Kept stores that do not answer.", func() float64 {
		down := 0
		for _, s := range d.kvStores() {
			if !d.kvStoreWatch.IsUsable(d.clock(), s.Address) {
				down++
			}
		}
		return float64(down)
	})
	gauge("lavenderrouter_edge_kept_store_residency_seconds", "How long the kept store that keeps least keeps a part that nobody uses, 0 where it is not known.", func() float64 {
		least := time.Duration(0)
		for _, s := range d.kvStores() {
			residency := d.kvStoreWatch.Residency(d.clock(), s.Address)
			if least == 0 || residency > 0 && residency < least {
				least = residency
			}
		}
		return least.Seconds()
	})
	d.metrics.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lavenderrouter_edge_panics_total", Help: "Duties and other work that ended with a panic.",
	}, func() float64 { return float64(d.supervisor.Panics()) }))
	d.registerFeedGauges()
}

// registerFeedGauges registers how recent the entries of each feed are.
func (d *Daemon) registerFeedGauges() {
	for name, f := range d.feeds() {
		labels := prometheus.Labels{"feed": name}
		d.metrics.registry.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "lavenderrouter_edge_feed_age_seconds", Help: "Time since any instance is known to have read the feed.", ConstLabels: labels,
			}, func() float64 {
				_, age := f.Report(d.clock())
				return age.Seconds()
			}),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "lavenderrouter_edge_feed_revision", Help: "Revision of the platform up to which this instance has every change of the feed.",
				ConstLabels: labels,
			}, func() float64 { return float64(f.Version().Revision) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "lavenderrouter_edge_feed_history_gone_total", Help: "Watches for which the platform no longer had the changes of the feed.",
				ConstLabels: labels,
			}, func() float64 { return float64(f.Stats().HistoryGone) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name:        "lavenderrouter_edge_feed_dropped_total",
				Help:        "Answers of the platform that were not applied because the entries of the feed include later changes.",
				ConstLabels: labels,
			}, func() float64 { return float64(f.Stats().Dropped) }))
	}
}

// feeds returns the feeds that other instances can read from this one.
func (d *Daemon) feeds() map[string]lrfleet.SharedFeed {
	feeds := map[string]lrfleet.SharedFeed{
		feedTables: d.tables, feedServers: d.servers, feedDesired: d.desired, feedInstances: d.instances, feedVerdicts: d.verdicts,
	}
	if d.rollouts != nil {
		feeds[feedRollouts] = d.rollouts
	}
	return feeds
}

// registerNoticeGauges registers the numbers of backend servers by what they say of themselves.
func (d *Daemon) registerNoticeGauges() {
	for n, notice := range []string{"limit", "leaving", "pause"} {
		d.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lavenderrouter_edge_noticed_servers", Help: "Backend servers by what they say of themselves.",
			ConstLabels: prometheus.Labels{"notice": notice},
		}, func() float64 {
			limited, leaving, paused := d.notices.Counts(d.clock())
			return float64([]int{limited, leaving, paused}[n])
		}))
	}
}
