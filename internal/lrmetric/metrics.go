// Package lrmetric defines the metrics of an instance that is started by the serve command.
package lrmetric

import "github.com/prometheus/client_golang/prometheus"

const namespace = "lavenderrouter"

// Metrics are the metrics of one instance.
type Metrics struct {
	Registry *prometheus.Registry
	// Requests counts finished requests by route kind and outcome.
	Requests *prometheus.CounterVec
	// FirstToken is the time to the first token in seconds.
	FirstToken prometheus.Histogram
	// AccountTailLatencies holds the time to the first token of each client account.
	AccountTailLatencies *AccountTailLatencies
	// PromptTokens counts prompt tokens by whether the engine had them cached.
	PromptTokens *prometheus.CounterVec
	// WastedTokens counts prompt tokens that were recomputed although another engine had them cached.
	WastedTokens prometheus.Counter
	// Refusals counts rejected requests by kind of error.
	Refusals *prometheus.CounterVec
	// RefusedInsideRate counts requests rejected for exceeding the rate although all instances together held enough tokens.
	RefusedInsideRate prometheus.Counter
	// ConfigVersion is the version of the active configuration.
	ConfigVersion prometheus.Gauge
	// Violations counts violated invariants by name. Any value above zero indicates a bug in the program.
	Violations *prometheus.CounterVec
}

// New returns the metrics, registered in their own registry.
func New() *Metrics {
	m := &Metrics{
		Registry:             prometheus.NewRegistry(),
		Requests:             counterVec("requests_total", "Finished requests.", "route", "outcome"),
		FirstToken:           prometheus.NewHistogram(histogram("first_token_seconds", "Time to the first token.")),
		AccountTailLatencies: NewAccountTailLatencies(),
		PromptTokens:         counterVec("prompt_tokens_total", "Prompt tokens by whether they were cached.", "cached"),
		WastedTokens:         prometheus.NewCounter(counter("wasted_tokens_total", "Prompt tokens recomputed although another engine held them.")),
		Refusals:             counterVec("refusals_total", "Refused requests by kind.", "kind"),
		RefusedInsideRate: prometheus.NewCounter(counter("refusals_inside_rate_total",
			"Requests refused over the rate although all instances together held enough tokens.")),
		ConfigVersion: prometheus.NewGauge(gauge("config_version", "Version of the configuration in force.")),
		Violations:    counterVec("invariant_violations_total", "Violated invariants by name.", "invariant"),
	}
	m.Registry.MustRegister(m.Requests, m.FirstToken, m.AccountTailLatencies, m.PromptTokens, m.WastedTokens, m.Refusals, m.RefusedInsideRate,
		m.ConfigVersion, m.Violations)
	return m
}

func counter(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func gauge(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(counter(name, help), labels)
}

func histogram(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}
}
