package lrbalance

// HasFree reports whether one of the usable engines has a free slot and no prompt tokens that wait, apart from the load of the choice itself.
func (b *Balancer) HasFree(choice Choice, engines []Engine, excluded map[string]bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range engines {
		if excluded[e.ID] || e.IsHeldBack || e.IsDraining || e.OutdatedFor >= outdatedLimit {
			continue
		}
		load := b.load(e.ID)
		if e.ID == choice.Engine.ID {
			load = load.Plus(Load{Waiting: -choice.work, Running: -1})
		}
		if load.Waiting <= 0 && load.Running < max(e.Slots, 1) {
			return true
		}
	}
	return false
}
