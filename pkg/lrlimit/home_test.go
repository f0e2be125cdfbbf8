package lrlimit_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

func start() time.Time { return time.Unix(1_000_000, 0) }

// fullHome returns the home of an account with 100 tokens per second and a burst of 1000, with a full pool.
func fullHome() (*lrlimit.Home, lrlimit.Limits) {
	limits := lrlimit.Limits{Rate: 100, Burst: 1000}
	return lrlimit.NewHome(start().Add(-time.Hour), limits, testValidity), limits
}

// TestRefundNeverExceedsRateAndBurst refunds a reservation after the pool was full meanwhile. Refunding all of it would
// admit more than the rate and the burst.
func TestRefundNeverExceedsRateAndBurst(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("instance")
	exchange := func(now time.Time, need float64) {
		t.Helper()
		report := holding.Report(now, need, need)
		answer, err := home.Exchange(now, limits, report)
		if err != nil {
			t.Fatal(err)
		}
		holding.Accept(now, now, report.Sequence, answer)
	}
	charged := &referenceBucket{bucket: lrlimit.NewBucket(start(), limits.Rate, limits.Burst).WithTokens(limits.Burst)}
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
	if charged.lowest < -roundingTokens {
		t.Errorf("the pool was full while the tokens were reserved, yet refunding them admitted %g tokens too many", -charged.lowest)
	}
}

func TestUnusedTokensAreRefunded(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("instance")
	report := holding.Report(start(), 800, 800)
	answer, _ := home.Exchange(start(), limits, report)
	holding.Accept(start(), start(), report.Sequence, answer)
	debit := holding.Take(start(), 800)
	report = holding.Report(start(), 0, 0)
	answer, _ = home.Exchange(start(), limits, report)
	holding.Accept(start(), start(), report.Sequence, answer)
	debit.Return(start(), 700)
	_, _ = home.Exchange(start(), limits, holding.Report(start(), 0, 0))
	checkLevel(t, home, start(), 900)
}

func TestRepeatedReportGrantsNothing(t *testing.T) {
	home, limits := fullHome()
	report := lrlimit.NewHolding("instance").Report(start(), 400, 400)
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
	holding := lrlimit.NewHolding("instance")
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

func TestHeldTokensLimitRefill(t *testing.T) {
	home, limits := fullHome()
	charged := &referenceBucket{bucket: lrlimit.NewBucket(start(), limits.Rate, limits.Burst).WithTokens(limits.Burst)}
	holdings := []*lrlimit.Holding{lrlimit.NewHolding("first"), lrlimit.NewHolding("second")}
	now := start()
	for _, h := range holdings {
		report := h.Report(now, limits.Burst, limits.Burst)
		answer, _ := home.Exchange(now, limits, report)
		h.Accept(now, now, report.Sequence, answer)
		now = now.Add(testValidity - 1)
	}
	now = start().Add(testValidity - 1)
	for _, h := range holdings {
		charged.charge(now, h.Tokens(now))
	}
	if charged.lowest < -roundingTokens {
		t.Errorf("the tokens held from both grants exceed rate and burst by %g", -charged.lowest)
	}
}

func TestMovedAccountStartsEmpty(t *testing.T) {
	first, second := members("a")[0], members("b")[0]
	account := accountOf(viewOf("ab"), second)
	homes := lrlimit.NewHomes(first, testLease, testValidity)
	homes.SetShare(1)
	limits := lrlimit.Limits{Rate: 100, Burst: 1000}
	granted := func(now time.Time) float64 {
		homes.ConfirmByPlatform(now)
		report := lrlimit.NewHolding(now.String()).Report(now, limits.Burst, limits.Burst)
		answer, _, err := homes.Exchange(now, homes.View().Number, account, limits, report)
		if err != nil {
			t.Fatal(err)
		}
		return answer.Tokens
	}
	alone := lrlimit.View{Zone: "zone"}.WithMember(first)
	both := alone.WithMember(second)
	cases := []struct {
		name  string
		view  lrlimit.View
		after time.Duration
		want  float64
	}{
		{"only member for an hour", alone, time.Hour, 1000},
		{"moved to another member", both, time.Hour, 0},
		{"moved back, grants of the other member may still be valid", both.WithoutLeaver(second), lrlimit.WithMargin(testValidity) - 1, 0},
		{"moved back for two seconds", both.WithoutLeaver(second), lrlimit.WithMargin(testValidity) + 2*time.Second, 200},
	}
	now, adopted := start(), start()
	for _, c := range cases {
		if homes.Adopt(now, c.view) {
			for _, m := range c.view.Members {
				homes.ConfirmByMember(now, now, m, c.view.Number)
			}
			adopted = now
		}
		now = adopted.Add(c.after)
		got := granted(now)
		if got != c.want {
			t.Errorf("%s: granted %g, want %g", c.name, got, c.want)
		}
	}
}

// accountOf returns the name of an account whose home is the member.
func accountOf(view lrlimit.View, m lrlimit.Member) string {
	for _, name := range accountNames() {
		home, _ := view.Home(name)
		if home == m {
			return name
		}
	}
	return ""
}

func TestFleetRestartStartsEmpty(t *testing.T) {
	f := newFleet(1, 3, 3)
	f.runFor(warmUp)
	sendRequests := func(duration time.Duration) {
		for range int(duration / step) {
			for _, name := range accountNames() {
				f.sendRandomRequest(name)
			}
			f.runFor(step)
		}
	}
	sendRequests(20 * time.Second)
	f.runFor(warmUp)
	sendRequests(5 * time.Second)
	for _, p := range f.instances {
		p.start()
	}
	sendRequests(20 * time.Second)
	checkNoExcess(t, f)
}

func TestGrantsExpire(t *testing.T) {
	home, limits := fullHome()
	holding := lrlimit.NewHolding("instance")
	report := holding.Report(start(), 400, 400)
	answer, _ := home.Exchange(start().Add(time.Millisecond), limits, report)
	holding.Accept(start().Add(2*time.Millisecond), start(), report.Sequence, answer)
	if holding.Take(start().Add(testValidity-1), 100) == nil {
		t.Error("the grant ended early")
	}
	if holding.Take(start().Add(testValidity), 100) != nil {
		t.Error("the grant can be used after its end, counted from the sending of the report")
	}
}
