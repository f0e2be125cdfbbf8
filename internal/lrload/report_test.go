package lrload

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

func TestSummaryText(t *testing.T) {
	start := time.Unix(1000, 0)
	prompt := strings.Repeat("x", 4*lrprefix.BlockBytes)
	answered := func(account, cachedBlocks int, firstToken time.Duration) Outcome {
		return Outcome{
			Request: Request{Account: account, Prompt: prompt}, SentAt: start, Status: http.StatusOK, Complete: true,
			PromptTokens: 4 * lrprefix.BlockTokens, CachedTokens: cachedBlocks * lrprefix.BlockTokens, FirstToken: firstToken,
		}
	}
	refused := func(account int) Outcome {
		return Outcome{Request: Request{Account: account}, SentAt: start, Status: http.StatusTooManyRequests, PromptTokens: 4000}
	}
	report := NewReport([]Account{
		{Name: "large", Rate: 1000, Burst: 40_000}, {Name: "small", Rate: 100, Burst: 8100}, {Name: "silent"},
	}, 100)
	for _, o := range []Outcome{
		answered(0, 0, 100*time.Millisecond),
		answered(0, 4, 10*time.Millisecond),
		answered(0, 2, 60*time.Millisecond),
		answered(1, 0, 400*time.Millisecond),
		refused(0),
		refused(1),
		{Request: Request{Account: 0}, SentAt: start, Status: http.StatusOK},
		{Request: Request{Account: 0}, SentAt: start},
	} {
		report.Add(o)
	}
	goldie.New(t).Assert(t, "summary", []byte(report.Summary().String()))
}

func TestTraceIsDeterministic(t *testing.T) {
	first := Trace(DefaultShape(), 3, 50, time.Second, 7)
	second := Trace(DefaultShape(), 3, 50, time.Second, 7)
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("lengths: %d and %d", len(first), len(second))
	}
	for n := range first {
		if first[n] != second[n] {
			t.Fatalf("request %d differs", n)
		}
	}
}
