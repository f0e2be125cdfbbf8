package lrretry

import (
	"testing"
	"time"
)

const (
	testShare  = 0.2
	testWindow = 10 * time.Second
	testExtra  = 7
)

// TestWindowBudgetAllowsABurst spends everything that the window has earned at one moment, as happens when many engines
// crash at once.
func TestWindowBudgetAllowsABurst(t *testing.T) {
	b := NewWindowBudget(testShare, testWindow)
	now := time.Unix(1000, 0)
	for range 100 {
		b.Earn(now)
		now = now.Add(50 * time.Millisecond)
	}
	spent := 0
	for b.Spend(now, testExtra) {
		spent++
	}
	if spent != 27 {
		t.Fatalf("%d retries, want 27", spent)
	}
}

// TestWindowBudgetBoundsEveryWindow sends and retries without pause and checks each window.
func TestWindowBudgetBoundsEveryWindow(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		steps = 6000
	)
	b := NewWindowBudget(testShare, testWindow)
	now := time.Unix(1000, 0)
	firstAttempts, retries := make([]int, steps), make([]int, steps)
	for n := range steps {
		if n%10 == 0 && (n/2000)%2 == 0 {
			b.Earn(now)
			firstAttempts[n] = 1
		}
		for b.Spend(now, testExtra) {
			retries[n]++
		}
		now = now.Add(step)
	}
	const width = int(testWindow / step)
	for from := 0; from+width <= steps; from++ {
		f, r := 0, 0
		for n := from; n < from+width; n++ {
			f += firstAttempts[n]
			r += retries[n]
		}
		// One slot of the window may count on either side of it.
		bound := testShare*float64(f+width/windowSlots/10+1) + 2*testExtra
		if float64(r) > bound {
			t.Fatalf("window at %d: %d retries of %d first attempts, bound %.1f", from, r, f, bound)
		}
	}
}

func TestWindowBudgetExpiresOldRetries(t *testing.T) {
	b := NewWindowBudget(testShare, testWindow)
	now := time.Unix(1000, 0)
	for b.Spend(now, 1) {
		continue
	}
	if b.Spend(now.Add(testWindow/2), 1) {
		t.Fatal("a retry within the window no longer counts")
	}
	if !b.Spend(now.Add(2*testWindow), 1) {
		t.Fatal("a retry outside the window still counts")
	}
}
