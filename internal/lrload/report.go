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
	highestMillis = 10 * 60 * 1000
	digits        = 3
	tailQuantile  = 99
)

// A Report gathers how the requests of a load were served.
type Report struct {
	mutex     sync.Mutex
	accounts  []accountReport
	seen      map[lrprefix.ID]bool
	maxTokens int
	summary   Summary
}

type accountReport struct {
	account    Account
	firstToken *hdrhistogram.Histogram
	// allowance is what the account may use by its plan, if there were one central bucket.
	allowance lrlimit.Bucket
}

// A Summary holds the measures of a load.
type Summary struct {
	Sent       int
	Answered   int
	Incomplete int
	Failed     int
	// HitRate is the part of the prompt tokens that engines had cached.
	HitRate float64
	// FirstToken is the 99th percentile of the time to the first token.
	FirstToken time.Duration
	// WastedTokens are the prompt tokens that were computed again although an earlier request had them computed.
	WastedTokens int
	// WorstAccount is the account with the highest 99th percentile, and WorstRatio how far above the median account it is.
	WorstAccount string
	WorstRatio   float64
	// Refused counts all refusals over the rate, WronglyRefused those that were inside it.
	Refused        int
	WronglyRefused int

	promptTokens int
	cachedTokens int
}

// NewReport returns an empty Report of a load whose requests each ask for maxTokens tokens.
func NewReport(accounts []Account, maxTokens int) *Report {
	r := &Report{seen: map[lrprefix.ID]bool{}, maxTokens: maxTokens}
	for _, a := range accounts {
		r.accounts = append(r.accounts, accountReport{account: a, firstToken: hdrhistogram.New(1, highestMillis, digits)})
	}
	return r
}

// Add takes in how one request was served.
func (r *Report) Add(o Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	account := &r.accounts[o.Request.Account]
	inside := account.inside(o, r.maxTokens)
	r.summary.Sent++
	switch {
	case o.Status == http.StatusOK && o.Complete:
		r.addAnswer(account, o)
	case o.Status == http.StatusOK:
		r.summary.Incomplete++
	case o.Status == http.StatusTooManyRequests:
		r.summary.Refused++
		if inside {
			r.summary.WronglyRefused++
		}
	default:
		r.summary.Failed++
	}
}

// inside reports whether the request was inside the rate, and counts it if it was served.
func (a *accountReport) inside(o Outcome, maxTokens int) bool {
	if a.allowance == (lrlimit.Bucket{}) {
		a.allowance = lrlimit.NewBucket(o.SentAt, a.account.Rate, a.account.Burst).WithTokens(a.account.Burst)
	}
	a.allowance = a.allowance.WithTime(o.SentAt)
	tokens := float64(o.PromptTokens + maxTokens)
	inside := a.allowance.Wait(tokens) == 0
	if o.Status == http.StatusOK {
		a.allowance = a.allowance.WithTokens(-tokens)
	}
	return inside
}

func (r *Report) addAnswer(account *accountReport, o Outcome) {
	r.summary.Answered++
	r.summary.promptTokens += o.PromptTokens
	r.summary.cachedTokens += o.CachedTokens
	_ = account.firstToken.RecordValue(o.FirstToken.Milliseconds())
	salt := lrprefix.Scope{Account: account.account.Name}.Salt()
	for n, id := range lrprefix.Chain(salt, o.Request.Prompt) {
		computed := n*lrprefix.PieceTokens >= o.CachedTokens
		if r.seen[id] && computed {
			r.summary.WastedTokens += lrprefix.PieceTokens
		}
		r.seen[id] = true
	}
}

// Summary returns the measures of all requests that have been added.
func (r *Report) Summary() Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := r.summary
	if s.promptTokens > 0 {
		s.HitRate = float64(s.cachedTokens) / float64(s.promptTokens)
	}
	all := hdrhistogram.New(1, highestMillis, digits)
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

// String returns the summary, one measure a line.
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
