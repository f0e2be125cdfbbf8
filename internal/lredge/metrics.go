package lredge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
)

// metrics count what happens to requests.
type metrics struct {
	registry   *prometheus.Registry
	refused    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	ended      *prometheus.HistogramVec
	prompts    *prometheus.CounterVec
	repeats    *prometheus.CounterVec
	orders     *prometheus.CounterVec
	leases     *prometheus.CounterVec
}

// latencyBuckets are the bounds of the histograms, in seconds.
func latencyBuckets() []float64 {
	return []float64{.01, .025, .05, .1, .2, .4, .6, .8, 1.2, 2.5, 5, 12}
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_refused_total", Help: "Requests refused by the router.",
		}, []string{"route", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_attempts_total", Help: "Requests sent to backend servers, by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lavenderrouter_edge_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets(),
		}, []string{"route"}),
		ended: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lavenderrouter_edge_request_seconds", Help: "Time of whole requests, by outcome.", Buckets: latencyBuckets(),
		}, []string{"route", "outcome"}),
		prompts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_prompt_tokens_total",
			Help: "Prompt tokens of answered requests, by where they were expected to come from, and those that were sent to a kept store.",
		}, []string{"from"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_repeats_total", Help: "Repeats asked of the retry budget of a service, by answer.",
		}, []string{"service", "answer"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_orders_total", Help: "Orders for new weights, by result.",
		}, []string{"result"}),
		leases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_lease_changes_total", Help: "Changes of the right to give orders, by what it changed to.",
		}, []string{"to"}),
	}
	m.registry.MustRegister(m.refused, m.attempts, m.firstEvent, m.ended, m.prompts, m.repeats, m.orders, m.leases)
	return m
}

// Registry returns the metrics of the instance and of its ports.
func (d *Daemon) Registry() *prometheus.Registry { return d.metrics.registry }

// Refused counts a refusal.
func (m *metrics) Refused(route, reason string) { m.refused.WithLabelValues(route, reason).Inc() }

// Attempted counts a sending to a backend server.
func (m *metrics) Attempted(outcome string) { m.attempts.WithLabelValues(outcome).Inc() }

// FirstEvent notes the time to the first event of a stream.
func (m *metrics) FirstEvent(route string, after time.Duration) {
	m.firstEvent.WithLabelValues(route).Observe(after.Seconds())
}

// Ended notes the end of a request.
func (m *metrics) Ended(route, outcome string, after time.Duration) {
	m.ended.WithLabelValues(route, outcome).Observe(after.Seconds())
}

// Prompted counts the tokens of an answered prompt by where they were expected to come from.
func (m *metrics) Prompted(tokens lrpipeline.PromptTokens) {
	m.prompts.WithLabelValues("computed").Add(float64(tokens.Computed))
	m.prompts.WithLabelValues("fetchedFromEngine").Add(float64(tokens.FromEngine))
	m.prompts.WithLabelValues("fetchedFromStore").Add(float64(tokens.FromStore))
	m.prompts.WithLabelValues("kept").Add(float64(tokens.Held))
	m.prompts.WithLabelValues("saved").Add(float64(tokens.Saved))
}

// repeated counts a question to the retry budget.
func (m *metrics) repeated(service string, granted bool) {
	answer := "denied"
	if granted {
		answer = "granted"
	}
	m.repeats.WithLabelValues(service, answer).Inc()
}

// Ordered counts an order for new weights. An order without an answer has no result.
func (m *metrics) Ordered(result lrweights.Result) {
	if result == "" {
		result = "unknown"
	}
	m.orders.WithLabelValues(string(result)).Inc()
}

// LeaseChanged counts that the right to give orders was won or lost.
func (m *metrics) LeaseChanged(held bool) {
	to := "lost"
	if held {
		to = "held"
	}
	m.leases.WithLabelValues(to).Inc()
}

// adminHandler serves readiness and metrics.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}
