package lrmetric

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// tailBuckets is the number of time buckets of one account. Each is twice as wide as the one before.
	tailBuckets = 20
	// firstBucket is the upper bound of the first bucket.
	firstBucket = time.Millisecond
	// tailQuantile is the quantile that is reported.
	tailQuantile = 0.99
	// halvingCount is the number of observations after which the older ones lose half their weight.
	halvingCount = 1024
)

// AccountTails keeps the time to the first token of every client account in a fixed amount of room for each, and
// reports the worst-served account beside the median one.
type AccountTails struct {
	mutex    sync.Mutex
	accounts map[string]*tail
	worst    *prometheus.Desc
	median   *prometheus.Desc
}

type tail struct {
	counts [tailBuckets]uint32
	total  uint32
}

// NewAccountTails returns an empty AccountTails.
func NewAccountTails() *AccountTails {
	return &AccountTails{
		accounts: map[string]*tail{},
		worst: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "worst_account_first_token_seconds"),
			"99th percentile of the time to the first token of the worst-served client account.", []string{"account"}, nil),
		median: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "median_account_first_token_seconds"),
			"99th percentile of the time to the first token of the median client account.", nil, nil),
	}
}

// Observe takes in the time to the first token of one request.
func (a *AccountTails) Observe(account string, firstToken time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	kept, ok := a.accounts[account]
	if !ok {
		kept = &tail{}
		a.accounts[account] = kept
	}
	kept.observe(firstToken)
}

// Describe sends the descriptions of the metrics.
func (a *AccountTails) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- a.worst
	descriptions <- a.median
}

// Collect sends the metrics of the worst-served and the median client account.
func (a *AccountTails) Collect(metrics chan<- prometheus.Metric) {
	account, worst, median := a.extremes()
	if account == "" {
		return
	}
	metrics <- prometheus.MustNewConstMetric(a.worst, prometheus.GaugeValue, worst.Seconds(), account)
	metrics <- prometheus.MustNewConstMetric(a.median, prometheus.GaugeValue, median.Seconds())
}

// extremes returns the worst-served account with its tail, and the tail of the median account.
func (a *AccountTails) extremes() (account string, worst, median time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tails := make([]time.Duration, 0, len(a.accounts))
	for name, kept := range a.accounts {
		value := kept.quantile(tailQuantile)
		tails = append(tails, value)
		if value > worst || (value == worst && name < account) {
			account, worst = name, value
		}
	}
	if len(tails) == 0 {
		return "", 0, 0
	}
	slices.Sort(tails)
	return account, worst, tails[(len(tails)-1)/2]
}

func (t *tail) observe(firstToken time.Duration) {
	if t.total >= halvingCount {
		t.halve()
	}
	t.counts[bucketOf(firstToken)]++
	t.total++
}

func (t *tail) halve() {
	t.total = 0
	for n := range t.counts {
		t.counts[n] /= 2
		t.total += t.counts[n]
	}
}

// quantile returns the upper bound of the bucket in which the quantile lies.
func (t *tail) quantile(q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(t.total)))
	seen := uint32(0)
	for n, count := range t.counts {
		seen += count
		if seen >= rank {
			return firstBucket << n
		}
	}
	return firstBucket << (tailBuckets - 1)
}

func bucketOf(d time.Duration) int {
	for n := range tailBuckets {
		if d <= firstBucket<<n {
			return n
		}
	}
	return tailBuckets - 1
}
