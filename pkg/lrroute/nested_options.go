package lrroute

import (
	"time"
)

// nestedOptions are the settings of nested placement.
type nestedOptions struct {
	zone            string
	seed            uint64
	beliefBytes     int
	prefillPerToken time.Duration
	window          time.Duration
	spread          float64
	memory          time.Duration
	room            float64
	notes           bool
	importCost      float64
	violated        func(invariant string)
	workWeight      float64
	homeShare       float64
}

// A NestedOption changes a setting of nested placement.
type NestedOption func(*nestedOptions)

// WithZone sets the availability zone whose engines are preferred.
func WithZone(zone string) NestedOption {
	return func(o *nestedOptions) { o.zone = zone }
}

// WithSeed sets the seed of the generator that breaks near ties.
func WithSeed(seed uint64) NestedOption {
	return func(o *nestedOptions) { o.seed = seed }
}

// WithBeliefBytes sets the room for what is known of pieces.
func WithBeliefBytes(bytes int) NestedOption {
	return func(o *nestedOptions) { o.beliefBytes = bytes }
}

// WithPrefillPerToken sets the time that the computation of one prompt token takes at first. Answers correct it.
func WithPrefillPerToken(perToken time.Duration) NestedOption {
	return func(o *nestedOptions) { o.prefillPerToken = perToken }
}

// WithWindow sets the time over which loads of prefixes are averaged.
func WithWindow(window time.Duration) NestedOption {
	return func(o *nestedOptions) { o.window = window }
}

// WithSpread sets how many engines a prefix gets in proportion to its share of the load.
func WithSpread(spread float64) NestedOption {
	return func(o *nestedOptions) { o.spread = spread }
}

// WithNotes makes the placer keep notes of its placements for the other instances.
func WithNotes() NestedOption {
	return func(o *nestedOptions) { o.notes = true }
}

// WithViolations sets what is called with the name of an invariant that does not hold.
func WithViolations(violated func(invariant string)) NestedOption {
	return func(o *nestedOptions) { o.violated = violated }
}

// WithImportCost sets the time that the import of a token from the kept-KV store takes, as a part of its computation.
func WithImportCost(part float64) NestedOption {
	return func(o *nestedOptions) { o.importCost = part }
}

// WithWorkWeight sets how much the work that a placement causes counts beside the time that its caller waits.
func WithWorkWeight(weight float64) NestedOption {
	return func(o *nestedOptions) { o.workWeight = weight }
}

// WithHomeShare sets the part of the unknown pieces that counts as held by the engine that hashing chooses.
func WithHomeShare(share float64) NestedOption {
	return func(o *nestedOptions) { o.homeShare = share }
}

const (
	defaultHomeShare       = 0.05
	defaultImportCost      = 0.2
	defaultWorkWeight      = 0.25
	defaultBeliefBytes     = 32 << 20
	defaultPrefillPerToken = 100 * time.Microsecond
	defaultWindow          = 90 * time.Second
	defaultSpread          = 1.0
	defaultMemory          = 30 * time.Second
	defaultRoom            = 60
)

func defaultNestedOptions() nestedOptions {
	return nestedOptions{
		seed: 1, beliefBytes: defaultBeliefBytes, prefillPerToken: defaultPrefillPerToken,
		window: defaultWindow, spread: defaultSpread, memory: defaultMemory, room: defaultRoom,
		workWeight: defaultWorkWeight, importCost: defaultImportCost, violated: func(string) {}, homeShare: defaultHomeShare,
	}
}
