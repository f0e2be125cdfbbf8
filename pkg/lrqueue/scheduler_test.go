package lrqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const testQuantum = 100

// modelQueue is a plain list of the waiting tickets, as the model to compare with.
type modelQueue []*Ticket[int]

// TestSchedulerAgainstModel runs random operations and checks each result against a plain list.
func TestSchedulerAgainstModel(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		scheduler := NewScheduler[int](testQuantum)
		var model modelQueue
		for n := range 300 {
			switch random.IntN(5) {
			case 0, 1, 2:
				entry := Entry{Account: fmt.Sprint(random.IntN(4)), Priority: random.IntN(3), Tokens: 1 + random.IntN(5*testQuantum)}
				model = append(model, scheduler.Push(entry, n))
			case 3:
				model = requirePop(t, seed, scheduler, model)
			case 4:
				model = requireRemove(t, random, scheduler, model)
			}
			requireEqual(t, scheduler.Waiting(), model.tokens(), "waiting tokens")
		}
		for len(model) > 0 {
			model = requirePop(t, seed, scheduler, model)
		}
		_, ok := scheduler.Pop()
		requireEqual(t, ok, false, "pop of an empty scheduler")
	}
}

func (q modelQueue) tokens() int {
	sum := 0
	for _, t := range q {
		sum += t.Entry.Tokens
	}
	return sum
}

// requirePop expects the oldest ticket of some client account of the highest priority.
func requirePop(t *testing.T, seed uint64, scheduler *Scheduler[int], model modelQueue) modelQueue {
	t.Helper()
	popped, ok := scheduler.Pop()
	requireEqual(t, ok, len(model) > 0, "pop")
	if !ok {
		return model
	}
	at := slices.Index(model, popped)
	for n, m := range model {
		if m.Entry.Priority > popped.Entry.Priority {
			t.Fatalf("seed %d: priority %d before %d", seed, popped.Entry.Priority, m.Entry.Priority)
		}
		if n < at && m.Entry.Account == popped.Entry.Account && m.Entry.Priority == popped.Entry.Priority {
			t.Fatalf("seed %d: account %s out of order", seed, m.Entry.Account)
		}
	}
	return slices.Delete(model, at, at+1)
}

func requireRemove(t *testing.T, random *rand.Rand, scheduler *Scheduler[int], model modelQueue) modelQueue {
	t.Helper()
	if len(model) == 0 {
		return model
	}
	at := random.IntN(len(model))
	requireEqual(t, scheduler.Remove(model[at]), true, "removed")
	requireEqual(t, scheduler.Remove(model[at]), false, "removed twice")
	return slices.Delete(model, at, at+1)
}

// TestSchedulerIsFair keeps all client accounts backlogged. At no time may the served tokens of two accounts differ by more
// than one quantum and one entry each.
func TestSchedulerIsFair(t *testing.T) {
	const accounts, largest = 5, 20 * testQuantum
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		scheduler := NewScheduler[int](testQuantum)
		push := func(account int) {
			scheduler.Push(Entry{Account: fmt.Sprint(account), Tokens: 1 + random.IntN(largest)/(1+account)}, account)
		}
		served := make([]int, accounts)
		for n := range accounts * 3 {
			push(n % accounts)
		}
		for range 2000 {
			ticket, _ := scheduler.Pop()
			served[ticket.Value] += ticket.Entry.Tokens
			push(ticket.Value)
			if slices.Max(served)-slices.Min(served) > 2*(testQuantum+largest) {
				t.Fatalf("seed %d: served %v", seed, served)
			}
		}
	}
}

func TestAheadPredictsTokensServedBefore(t *testing.T) {
	const largest = 5 * testQuantum
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		scheduler := NewScheduler[int](testQuantum)
		draw := func() Entry {
			return Entry{Account: fmt.Sprint(random.IntN(4)), Priority: random.IntN(2), Tokens: 1 + random.IntN(largest)}
		}
		for range random.IntN(40) {
			scheduler.Push(draw(), 0)
		}
		entry := draw()
		ahead := scheduler.Ahead(entry)
		scheduler.Push(entry, 1)
		before := 0
		for ticket, _ := scheduler.Pop(); ticket.Value == 0; ticket, _ = scheduler.Pop() {
			before += ticket.Entry.Tokens
		}
		if slack := 4 * (testQuantum + largest); before > ahead+slack || before < ahead-slack {
			t.Fatalf("seed %d: %d tokens were served before, %d were predicted", seed, before, ahead)
		}
	}
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
