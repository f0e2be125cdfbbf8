package lrqueue

// An InFlight counts the tokens that have been admitted and not released, by priority. Engines serve the higher priority
// first, so that an entry has to wait only for admitted tokens of its own priority and above.
type InFlight struct {
	tokens map[int]int
}

// NewInFlight returns an InFlight without tokens.
func NewInFlight() *InFlight { return &InFlight{tokens: map[int]int{}} }

// Add counts the entry as admitted.
func (f *InFlight) Add(entry Entry) { f.tokens[entry.Priority] += entry.Tokens }

// Remove subtracts an entry that was added.
func (f *InFlight) Remove(entry Entry) {
	f.tokens[entry.Priority] -= entry.Tokens
	if f.tokens[entry.Priority] <= 0 {
		delete(f.tokens, entry.Priority)
	}
}

// Total returns the tokens of all priorities.
func (f *InFlight) Total() int {
	total := 0
	for _, tokens := range f.tokens {
		total += tokens
	}
	return total
}

// HasCapacity reports whether an entry of the priority may be admitted. The first entry may exceed the capacity, so that no
// entry is too large to be served.
func (f *InFlight) HasCapacity(priority, capacity int) bool {
	ahead := 0
	for p, tokens := range f.tokens {
		if p >= priority {
			ahead += tokens
		}
	}
	return ahead == 0 || ahead < capacity
}
