package lrload

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	maxFirstTokenMillis = 10 * 60 * 1000
	significantDigits   = 3
	tailQuantile        = 99
)

// A Report collects the outcomes of the requests of a load.
type Report struct {
	mutex      sync.Mutex
	accounts   []accountReport
	seenBlocks map[lrprefix.ID]bool
	maxTokens  int
	summary    Summary
}

type accountReport struct {
	account    Account
	firstToken *hdrhistogram.Histogram
	// allowance is the token bucket of the account's plan, as a single central limiter would keep it.
	allowance lrlimit.Bucket
}

// A Summary contains the metrics of a load.
type Summary struct {
	Sent       int
	Answered   int
	Incomplete int
	Failed     int
	// HitRate is the share of the prompt tokens that engines had cached.
	HitRate float64
	// FirstToken is the 99th percentile of the time to the first token.
	FirstToken time.Duration
	// WastedTokens are the prompt tokens that were computed although an earlier request had already computed them.
	WastedTokens int
	// WorstAccount is the account with the highest 99th percentile. WorstRatio is its ratio to the median account's.
	WorstAccount string
	WorstRatio   float64
	// Refused counts all refusals by the rate limit, WronglyRefused those of requests within the rate and burst.
	Refused        int
	WronglyRefused int

	promptTokens int
	cachedTokens int
}

// NewReport returns an empty Report of a load whose requests each ask for maxTokens tokens.
func NewReport(accounts []Account, maxTokens int) *Report {
	r := &Report{seenBlocks: map[lrprefix.ID]bool{}, maxTokens: maxTokens}
	for _, a := range accounts {
		r.accounts = append(r.accounts, accountReport{account: a, firstToken: hdrhistogram.New(1, maxFirstTokenMillis, significantDigits)})
	}
	return r
}

// Add records the outcome of one request.
func (r *Report) Add(o Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	account := &r.accounts[o.Request.Account]
	admissible := account.admissible(o, r.maxTokens)
	r.summary.Sent++
	switch {
	case o.Status == http.StatusOK && o.Complete:
		r.addAnswer(account, o)
	case o.Status == http.StatusOK:
		r.summary.Incomplete++
	case o.Status == http.StatusTooManyRequests:
		r.summary.Refused++
		if admissible {
			r.summary.WronglyRefused++
		}
	default:
		r.summary.Failed++
	}
}

// admissible reports whether the request was within the rate and burst, and charges it if it was served.
func (a *accountReport) admissible(o Outcome, maxTokens int) bool {
	if a.allowance == (lrlimit.Bucket{}) {
		a.allowance = lrlimit.NewBucket(o.SentAt, a.account.Rate, a.account.Burst).WithTokens(a.account.Burst)
	}
	a.allowance = a.allowance.WithTime(o.SentAt)
	tokens := float64(o.PromptTokens + maxTokens)
	admissible := a.allowance.Wait(tokens) == 0
	if o.Status == http.StatusOK {
		a.allowance = a.allowance.WithTokens(-tokens)
	}
	return admissible
}

func (r *Report) addAnswer(account *accountReport, o Outcome) {
	r.summary.Answered++
	r.summary.promptTokens += o.PromptTokens
	r.summary.cachedTokens += o.CachedTokens
	_ = account.firstToken.RecordValue(o.FirstToken.Milliseconds())
	salt := lrprefix.Scope{Account: account.account.Name}.Salt()
	for n, id := range lrprefix.Chain(salt, o.Request.Prompt) {
		computed := n*lrprefix.BlockTokens >= o.CachedTokens
		if r.seenBlocks[id] && computed {
			r.summary.WastedTokens += lrprefix.BlockTokens
		}
		r.seenBlocks[id] = true
	}
}

// Summary returns the metrics of all recorded requests.
func (r *Report) Summary() Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.summary
	if s.promptTokens > 0 {
		s.HitRate = float64(s.cachedTokens) / float64(s.promptTokens)
	}
	all := hdrhistogram.New(1, maxFirstTokenMillis, significantDigits)
	var tails []int64
	worst := int64(-1)
	for _, a := range r.accounts {
		if a.firstToken.TotalCount() == 0 {
			continue
		}
		all.Merge(a.firstToken)
		tail := a.firstToken.ValueAtPercentile(tailQuantile)
		tails = append(tails, tail)
		if tail > worst {
			worst, s.WorstAccount = tail, a.account.Name
		}
	}
	s.FirstToken = time.Duration(all.ValueAtPercentile(tailQuantile)) * time.Millisecond
	if len(tails) > 0 {
		slices.Sort(tails)
		s.WorstRatio = float64(worst) / float64(max(tails[(len(tails)-1)/2], 1))
	}
	return s
}

// String returns the summary, one metric per line.
func (s Summary) String() string {
	var text strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	line("requests: %d sent, %d answered, %d incomplete, %d failed", s.Sent, s.Answered, s.Incomplete, s.Failed)
	line("prefix hit rate: %.3f", s.HitRate)
	line("first token, 99th percentile: %s", s.FirstToken)
	line("wasted recomputation: %d tokens", s.WastedTokens)
	line("worst-served client account: %s, 99th percentile %.2f times the median account's", s.WorstAccount, s.WorstRatio)
	line("refusals over the rate: %d, of them inside it: %d", s.Refused, s.WronglyRefused)
	return text.String()
}
