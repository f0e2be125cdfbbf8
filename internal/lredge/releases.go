package lredge

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lavenderrouter/lavenderrouter/internal/lrclock"
	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrrelease"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

const (
	// releaseInterval is the time between two looks at the roll-outs of services.
	releaseInterval = 50 * time.Millisecond
	// rolloutsInterval is the time between two reads of all orders by all instances together. Watches tell of a new one much sooner.
	rolloutsInterval = time.Second
	// rolloutsTimeout is how long after its start an instance is not ready because it has not read the orders.
	rolloutsTimeout = time.Second
)

// wireReleases creates the part that moves the traffic of services to other versions. It reads no orders where the settings bound no exposure:
// such a deployment has no roll-outs, and each read of the platform is paid for.
func (d *Daemon) wireReleases() {
	d.releases = lrcanary.NewBoard(lrcanary.Options{
		ExposureShare: d.settings.Rollouts.ExposureShare, StartedAt: d.startedAt, Random: rand.Float64, OnChange: d.releaseChanged,
	})
	d.releaseDuty = lrrelease.NewDuty(lrrelease.Dependencies{
		Board: d.releases, Directory: d.directory, Statuses: d.ports.RolloutStatuses, Keeper: d.leaseKeeper, LeaseClock: lrclock.BootTime,
		Instances: func() int { return d.sharer.Instances() }, Stored: d.metrics.releaseStored, Go: d.supervisor.Go, Log: d.log,
	})
	if d.settings.Rollouts.ExposureShare <= 0 {
		return
	}
	options := followerOptions[lrcanary.Entry](d, feedRollouts, rolloutsInterval)
	options.OnRewind = d.releaseDuty.Restored
	d.rollouts = lrfleet.NewFollower(d.ports.Rollouts, options, d.log, d.releaseDuty.SetEntries)
	d.supervisor.Add("followRollouts", d.rollouts.Run)
	d.supervisor.Add("refreshRollouts", d.rollouts.RunRefresh)
	d.supervisor.Add("moveReleases", lrsupervise.Every(releaseInterval, d.releaseDuty.Step))
}

// knowsRollouts reports whether this instance has read the orders, reads none, or has tried for long enough. Before, it might send requests to a version
// that was rolled back.
func (d *Daemon) knowsRollouts(now time.Time) bool {
	return d.rollouts == nil || d.rollouts.Version().Revision > 0 || now.Sub(d.startedAt) > rolloutsTimeout
}

// releaseChanged logs a change of the stage of a roll-out with the figures that decided.
func (d *Daemon) releaseChanged(c lrcanary.Change) {
	d.log.Warn().Str("service", c.Entry.Name).Str("to", c.Entry.To).Str("stage", c.Stage.String()).Dur("age", c.Age).Str("verdict", c.Verdict).
		Int64("newAnswers", c.New.Answers).Int64("newFailed", c.New.Failed).Int64("newSlow", c.New.Slow).
		Int64("oldAnswers", c.Old.Answers).Int64("oldFailed", c.Old.Failed).Int64("oldSlow", c.Old.Slow).Msg("release: stage")
}

// releaseStored counts an attempt to store the state of a roll-out.
func (m *metrics) releaseStored(state lrcanary.State, err error) {
	answer := "ok"
	if err != nil {
		answer = "failed"
	}
	m.releases.WithLabelValues(string(state), answer).Inc()
}

// releaseCollector collects the state of each roll-out at a scrape.
type releaseCollector struct{ daemon *Daemon }

func releaseDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("lavenderrouter_edge_release_"+name, help, append([]string{"service", "to"}, labels...), nil)
}

// Describe describes no metrics in advance, since the roll-outs are not known.
func (releaseCollector) Describe(chan<- *prometheus.Desc) {}

// Collect collects the metrics of the present roll-outs.
func (c releaseCollector) Collect(metrics chan<- prometheus.Metric) {
	stage := releaseDesc("stage", "Stage of a roll-out: 0 waiting, 1 observing, 2 quarter, 3 half, 4 full, 5 rejected, 6 moved.")
	share := releaseDesc("share", "Share of the requests that this instance sends to the new version.")
	answers := releaseDesc("answers", "Answers of both versions since the order, of all instances, by kind.", "version", "kind")
	for _, s := range c.daemon.releases.Statuses(c.daemon.clock()) {
		gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
			metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, append([]string{s.Service, s.To}, labels...)...)
		}
		gauge(stage, float64(s.Stage))
		gauge(share, s.Share)
		for version, counts := range map[string]lrcanary.Counts{"new": s.New, "old": s.Old} {
			gauge(answers, float64(counts.Answers), version, "all")
			gauge(answers, float64(counts.Failed), version, "failed")
			gauge(answers, float64(counts.Slow), version, "slow")
		}
	}
}
