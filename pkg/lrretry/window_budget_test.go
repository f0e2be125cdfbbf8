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

// TestWindowBudgetAllowsABurst answers a crash of many engines at once: what the whole window has earned may be spent
// in a moment.
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
		t.Fatalf("%d repeats, want 27", spent)
	}
}

// TestWindowBudgetHoldsInEveryWindow sends and repeats without pause and checks each window.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		steps = 6000
	)
	b := NewWindowBudget(testShare, testWindow)
	now := time.Unix(1000, 0)
	firsts, repeats := make([]int, steps), make([]int, steps)
	for n := range steps {
		if n%10 == 0 && (n/2000)%2 == 0 {
			b.Earn(now)
			firsts[n] = 1
		}
		for b.Spend(now, testExtra) {
			repeats[n]++
		}
		now = now.Add(step)
	}
	const width = int(testWindow / step)
	for from := 0; from+width <= steps; from++ {
		f, r := 0, 0
		for n := from; n < from+width; n++ {
			f += firsts[n]
			r += repeats[n]
		}
		// One part of the window may count on either side of it.
		bound := testShare*float64(f+width/windowSlots/10+1) + 2*testExtra
		if float64(r) > bound {
			t.Fatalf("window at %d: %d repeats of %d, bound %.1f", from, r, f, bound)
		}
	}
}

func TestWindowBudgetForgets(t *testing.T) {
	b := NewWindowBudget(testShare, testWindow)
	now := time.Unix(1000, 0)
	for b.Spend(now, 1) {
		continue
	}
	if b.Spend(now.Add(testWindow/2), 1) {
		t.Fatal("a repeat within the window is forgotten")
	}
	if !b.Spend(now.Add(2*testWindow), 1) {
		t.Fatal("a repeat outside the window still counts")
	}
}
