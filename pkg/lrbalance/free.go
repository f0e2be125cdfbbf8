package lrbalance

import "time"

// Before returns the load of the chosen engine without that of the choice itself, and the time that the engine takes to compute the prompt.
func (b *Balancer) Before(choice Choice) (Load, time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.before(choice, choice.Engine.ID), b.prefill(choice.work)
}

// before returns the load of the engine without that of the choice.
func (b *Balancer) before(choice Choice, engine string) Load {
	load := b.load(engine)
	if engine == choice.Engine.ID {
		load = load.Plus(Load{Waiting: -choice.work, Running: -1})
	}
	return load
}

// IsFree reports whether the engine has a free slot and no prompt tokens that wait.
func (e Engine) IsFree(load Load) bool { return load.Waiting <= 0 && load.Running < max(e.Slots, 1) }

// FreePart returns the part of the usable engines that have a free slot and no prompt tokens that wait, apart from the load of the choice itself.
func (b *Balancer) FreePart(choice Choice, engines []Engine, excluded map[string]bool) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	usable, free := 0, 0
	for _, e := range engines {
		if excluded[e.ID] || e.IsHeldBack || e.IsDraining || e.OutdatedFor >= b.options.OutdatedLimit {
			continue
		}
		usable++
		if e.IsFree(b.before(choice, e.ID)) {
			free++
		}
	}
	return float64(free) / float64(max(usable, 1))
}
