package lrmetric

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// histogramBuckets is the number of buckets per client account. Each is twice as wide as the previous one.
	histogramBuckets = 20
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = time.Millisecond
	// reportedQuantile is the quantile that is exported.
	reportedQuantile = 0.99
	// decayCount is the number of observations after which older ones lose half their weight.
	decayCount = 1024
)

// AccountTailLatencies is a collector that keeps the time to the first token of each client account in a histogram of fixed size. It
// exports the tail latency of the worst-served account and that of the median account.
type AccountTailLatencies struct {
	mutex    sync.Mutex
	accounts map[string]*latencyHistogram
	worst    *prometheus.Desc
	median   *prometheus.Desc
}

// latencyHistogram is a histogram with exponential buckets, whose older observations decay.
type latencyHistogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

// NewAccountTailLatencies returns an empty AccountTailLatencies.
func NewAccountTailLatencies() *AccountTailLatencies {
	return &AccountTailLatencies{
		accounts: map[string]*latencyHistogram{},
		worst: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "worst_account_first_token_seconds"),
			"99th percentile of the time to the first token of the worst-served client account.", []string{"account"}, nil),
		median: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "median_account_first_token_seconds"),
			"99th percentile of the time to the first token of the median client account.", nil, nil),
	}
}

// Observe records the time to the first token of one request.
func (a *AccountTailLatencies) Observe(account string, firstToken time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	histogram, ok := a.accounts[account]
	if !ok {
		histogram = &latencyHistogram{}
		a.accounts[account] = histogram
	}
	histogram.observe(firstToken)
}

// Describe sends the descriptions of the metrics.
func (a *AccountTailLatencies) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- a.worst
	descriptions <- a.median
}

// Collect sends the metrics of the worst-served and the median client account.
func (a *AccountTailLatencies) Collect(metrics chan<- prometheus.Metric) {
	account, worst, median := a.extremes()
	if account == "" {
		return
	}
	metrics <- prometheus.MustNewConstMetric(a.worst, prometheus.GaugeValue, worst.Seconds(), account)
	metrics <- prometheus.MustNewConstMetric(a.median, prometheus.GaugeValue, median.Seconds())
}

// extremes returns the worst-served account with its tail latency, and the tail latency of the median account.
func (a *AccountTailLatencies) extremes() (account string, worst, median time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	quantiles := make([]time.Duration, 0, len(a.accounts))
	for name, histogram := range a.accounts {
		value := histogram.quantile(reportedQuantile)
		quantiles = append(quantiles, value)
		if value > worst || (value == worst && name < account) {
			account, worst = name, value
		}
	}
	if len(quantiles) == 0 {
		return "", 0, 0
	}
	slices.Sort(quantiles)
	return account, worst, quantiles[(len(quantiles)-1)/2]
}

func (h *latencyHistogram) observe(firstToken time.Duration) {
	if h.total >= decayCount {
		h.decay()
	}
	h.counts[bucketOf(firstToken)]++
	h.total++
}

// decay halves the weight of all observations.
func (h *latencyHistogram) decay() {
	h.total = 0
	for n := range h.counts {
		h.counts[n] /= 2
		h.total += h.counts[n]
	}
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (h *latencyHistogram) quantile(q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(h.total)))
	seen := uint32(0)
	for n, count := range h.counts {
		seen += count
		if seen >= rank {
			return firstBucketBound << n
		}
	}
	return firstBucketBound << (histogramBuckets - 1)
}

func bucketOf(d time.Duration) int {
	for n := range histogramBuckets {
		if d <= firstBucketBound<<n {
			return n
		}
	}
	return histogramBuckets - 1
}
