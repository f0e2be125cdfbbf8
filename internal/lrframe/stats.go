package lrframe

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// The reasons for which a client is refused.
const (
	reasonLines       = "headerLines"
	reasonHeaderBytes = "headerBytes"
	reasonMemory      = "memory"
	reasonConnections = "connections"
)

// logInterval is the least time between two log lines about refused clients.
const logInterval = time.Second

// Stats counts the clients that are refused, and logs them at most once a second.
type Stats struct {
	refused *prometheus.CounterVec
	log     zerolog.Logger
	mutex   sync.Mutex
	// unreported counts the refusals since the last log line by reason.
	unreported map[string]int
	loggedAt   time.Time
}

// NewStats returns a Stats without refusals.
func NewStats(log zerolog.Logger) *Stats {
	return &Stats{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavenderrouter_clients_refused_total", Help: "Connections that were refused or closed, by the limit that they met.",
		}, []string{"reason"}),
		log: log, unreported: map[string]int{},
	}
}

// Describe describes the metric.
func (s *Stats) Describe(descriptions chan<- *prometheus.Desc) { s.refused.Describe(descriptions) }

// Collect collects the metric.
func (s *Stats) Collect(metrics chan<- prometheus.Metric) { s.refused.Collect(metrics) }

func (s *Stats) count(now time.Time, reason, address string) {
	s.refused.WithLabelValues(reason).Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unreported[reason]++
	if now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.log.Warn().Interface("refused", s.unreported).Str("reason", reason).Str("client", address).Msg("clients: refused")
	s.unreported, s.loggedAt = map[string]int{}, now
}
