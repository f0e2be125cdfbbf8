package lredge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics count what happens to requests.
type metrics struct {
	registry   *prometheus.Registry
	refused    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
	ended      *prometheus.HistogramVec
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
	}
	m.registry.MustRegister(m.refused, m.attempts, m.firstEvent, m.ended)
	return m
}

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
