package lrlimit_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

func start() time.Time { return time.Unix(1_000_000, 0) }

// fullHome returns the home of an account of 100 tokens a second and a burst of 1000, with a full pool.
func fullHome() (*lrlimit.Home, lrlimit.Limits) {
	limits := lrlimit.Limits{Rate: 100, Burst: 1000}
	return lrlimit.NewHome(start().Add(-time.Hour), limits, testValidity), limits
}

func TestGivingBackCountsAsNeverUsed(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("daemon")
	exchange := func(now time.Time, need float64) {
		t.Helper()
		report := holding.Report(now, need, need)
		answer, err := home.Exchange(now, limits, report)
		if err != nil {
			t.Fatal(err)
		}
		holding.Accept(now, now, report.Sequence, answer)
	}
	charged := &ledger{bucket: lrlimit.NewBucket(start(), limits.Rate, limits.Burst).WithTokens(limits.Burst)}
	exchange(start(), 1000)
	unused := holding.Take(start(), 1000)
	exchange(start(), 0)

	later := start().Add(10 * time.Second)
	exchange(later, 1000)
	used := holding.Take(later, 1000)
	charged.charge(later, used.Tokens())
	exchange(later, 0)
	unused.Return(later, 1000)
	exchange(later, 0)
	exchange(later, 1000)
	again := holding.Take(later, 1000)
	if again != nil {
		charged.charge(later, again.Tokens())
	}
	if charged.worst < -roundingTokens {
		t.Errorf("the pool was full while the tokens were reserved, yet giving them back let %g too many through", -charged.worst)
	}
}

func TestUnusedTokensComeBack(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("daemon")
	report := holding.Report(start(), 800, 800)
	answer, _ := home.Exchange(start(), limits, report)
	holding.Accept(start(), start(), report.Sequence, answer)
	part := holding.Take(start(), 800)
	report = holding.Report(start(), 0, 0)
	answer, _ = home.Exchange(start(), limits, report)
	holding.Accept(start(), start(), report.Sequence, answer)
	part.Return(start(), 700)
	_, _ = home.Exchange(start(), limits, holding.Report(start(), 0, 0))
	checkLevel(t, home, start(), 900)
}

func TestRepeatedReportGrantsNothing(t *testing.T) {
	home, limits := fullHome()
	report := lrlimit.NewHolding("daemon").Report(start(), 400, 400)
	for range 3 {
		_, err := home.Exchange(start(), limits, report)
		if err != nil {
			t.Fatal(err)
		}
	}
	checkLevel(t, home, start(), 600)
}

func TestLostAnswerCostsNoTokens(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("daemon")
	_, _ = home.Exchange(start(), limits, holding.Report(start(), 400, 400))
	_, _ = home.Exchange(start(), limits, holding.Report(start(), 0, 0))
	checkLevel(t, home, start(), 1000)
}

func checkLevel(t *testing.T, home *lrlimit.Home, now time.Time, want float64) {
	t.Helper()
	if got := home.Level(now); got != want {
		t.Errorf("the pool holds %g tokens, want %g", got, want)
	}
}
