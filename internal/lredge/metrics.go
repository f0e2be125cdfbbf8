package lredge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpipeline"
	"github.com/lavenderrouter/lavenderrouter/internal/lrweights"
)

// metrics are the counters and histograms of requests, orders and the lease.
type metrics struct {
	registry     *prometheus.Registry
	refused      *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	firstEvent   *prometheus.HistogramVec
	ended        *prometheus.HistogramVec
	promptTokens *prometheus.CounterVec
	retries      *prometheus.CounterVec
	orders       *prometheus.CounterVec
	leases       *prometheus.CounterVec
	verdicts     *prometheus.CounterVec
	releases     *prometheus.CounterVec
	heldBack     prometheus.Counter
	admissions   *prometheus.CounterVec
}

// latencyBuckets are the bucket bounds of the latency histograms, in seconds.
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
		promptTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_prompt_tokens_total",
			Help: "Prompt tokens of answered requests, by where they were expected to come from, and those that were sent to a kept store.",
		}, []string{"from"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_repeats_total", Help: "Repeats asked of the retry budget of a service, by answer.",
		}, []string{"service", "answer"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_orders_total", Help: "Orders for new weights, by result.",
		}, []string{"result"}),
		leases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_edge_lease_changes_total", Help: "Changes of the right to give orders, by what it changed to.",
		}, []string{"to"}),
	}
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavenderrouter_edge_verdicts_total",
		Help: "Verdicts on requests and parts of prompts that crash backend servers, by whether they are rejected.",
	}, []string{"quarantined"})
	m.heldBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lavenderrouter_edge_held_back_total",
		Help: "Backend servers that were passed over in placements because they named a limit, asked for a pause or were leaving.",
	})
	m.admissions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavenderrouter_edge_admissions_total", Help: "Decisions whether a request is sent, by reason.",
	}, []string{"route", "reason"})
	m.releases = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavenderrouter_edge_release_states_total", Help: "States of roll-outs of services that this instance has tried to store, by answer.",
	}, []string{"state", "answer"})
	m.registry.MustRegister(m.releases, m.admissions, m.heldBack, m.verdicts, m.refused, m.attempts, m.firstEvent, m.ended, m.promptTokens, m.retries, m.orders, m.leases)
	return m
}

// Registry returns the registry of the instance's metrics and those of its ports.
func (d *Daemon) Registry() *prometheus.Registry { return d.metrics.registry }

// Refused counts a rejected request.
func (m *metrics) Refused(route, reason string) { m.refused.WithLabelValues(route, reason).Inc() }

// Decided counts a decision whether a request is sent.
func (m *metrics) Decided(route, reason string) { m.admissions.WithLabelValues(route, reason).Inc() }

// HeldBack counts servers that were passed over in a placement.
func (m *metrics) HeldBack(servers int) { m.heldBack.Add(float64(servers)) }

// Attempted counts an attempt at a backend server.
func (m *metrics) Attempted(outcome string) { m.attempts.WithLabelValues(outcome).Inc() }

// FirstEvent records the time to the first event of a stream.
func (m *metrics) FirstEvent(route string, after time.Duration) {
	m.firstEvent.WithLabelValues(route).Observe(after.Seconds())
}

// Ended records the duration of a request by its outcome.
func (m *metrics) Ended(route, outcome string, after time.Duration) {
	m.ended.WithLabelValues(route, outcome).Observe(after.Seconds())
}

// PromptAnswered counts the tokens of an answered prompt by where they were expected to come from.
func (m *metrics) PromptAnswered(tokens lrpipeline.PromptTokens) {
	m.promptTokens.WithLabelValues("computed").Add(float64(tokens.Computed))
	m.promptTokens.WithLabelValues("fetchedFromEngine").Add(float64(tokens.FromEngine))
	m.promptTokens.WithLabelValues("fetchedFromStore").Add(float64(tokens.FromStore))
	m.promptTokens.WithLabelValues("kept").Add(float64(tokens.Cached))
	m.promptTokens.WithLabelValues("saved").Add(float64(tokens.Saved))
}

// retryDecided counts a decision of the retry budget.
func (m *metrics) retryDecided(service string, granted bool) {
	answer := "denied"
	if granted {
		answer = "granted"
	}
	m.retries.WithLabelValues(service, answer).Inc()
}

// Ordered counts an order for new weights. The result of an order without a response is empty.
func (m *metrics) Ordered(result lrweights.Result) {
	if result == "" {
		result = "unknown"
	}
	m.orders.WithLabelValues(string(result)).Inc()
}

// verdictDecided counts a verdict on a request or a part of prompts that crashes backend servers.
func (m *metrics) verdictDecided(isQuarantined bool) {
	m.verdicts.WithLabelValues(strconv.FormatBool(isQuarantined)).Inc()
}

// LeaseChanged counts that this instance has acquired or lost the lease.
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
