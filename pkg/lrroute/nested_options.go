package lrroute

import (
	"time"
)

// nestedOptions are the settings of nested placement.
type nestedOptions struct {
	zone            string
	seed            uint64
	estimateBytes   int
	prefillPerToken time.Duration
	rateWindow      time.Duration
	spreadFactor    float64
	// recentWindow is the time after its last use within which a served block counts as known.
	recentWindow time.Duration
	// initialCapacityBlocks is the initial estimate of the number of blocks that an engine stores before it evicts one.
	initialCapacityBlocks float64
	recordUpdates         bool
	importCostRatio       float64
	onViolation           func(invariant string)
	workWeight            float64
	homeHitRate           float64
}

// A NestedOption changes a setting of nested placement.
type NestedOption func(*nestedOptions)

// WithZone sets the availability zone of this instance, whose engines are preferred.
func WithZone(zone string) NestedOption {
	return func(o *nestedOptions) { o.zone = zone }
}

// WithSeed sets the seed of the random number generator that breaks near ties.
func WithSeed(seed uint64) NestedOption {
	return func(o *nestedOptions) { o.seed = seed }
}

// WithEstimateBytes sets the memory limit of the table of blocks, from which the cache contents of engines are estimated.
func WithEstimateBytes(bytes int) NestedOption {
	return func(o *nestedOptions) { o.estimateBytes = bytes }
}

// WithPrefillPerToken sets the initial estimate of the time to compute one prompt token. Responses correct it.
func WithPrefillPerToken(perToken time.Duration) NestedOption {
	return func(o *nestedOptions) { o.prefillPerToken = perToken }
}

// WithRateWindow sets the time constant of the exponential decay by which the loads of prefixes are averaged.
func WithRateWindow(window time.Duration) NestedOption {
	return func(o *nestedOptions) { o.rateWindow = window }
}

// WithSpreadFactor sets the factor by which the share of the load of a prefix is multiplied to get its share of the engines.
func WithSpreadFactor(factor float64) NestedOption {
	return func(o *nestedOptions) { o.spreadFactor = factor }
}

// WithPlacementUpdates makes the placer buffer updates about its placements for the other instances.
func WithPlacementUpdates() NestedOption {
	return func(o *nestedOptions) { o.recordUpdates = true }
}

// WithViolationHandler sets the function that is called with the name of a violated invariant.
func WithViolationHandler(handler func(invariant string)) NestedOption {
	return func(o *nestedOptions) { o.onViolation = handler }
}

// WithImportCostRatio sets the time to import a token from the KV store, as a fraction of the time to compute it.
func WithImportCostRatio(ratio float64) NestedOption {
	return func(o *nestedOptions) { o.importCostRatio = ratio }
}

// WithWorkWeight sets the weight of the prefill work that a placement causes relative to the time that its caller waits.
func WithWorkWeight(weight float64) NestedOption {
	return func(o *nestedOptions) { o.workWeight = weight }
}

// WithHomeHitRate sets the smallest fraction of the unknown blocks that counts as cached by the home engine.
func WithHomeHitRate(rate float64) NestedOption {
	return func(o *nestedOptions) { o.homeHitRate = rate }
}

const (
	defaultHomeHitRate           = 0.05
	defaultImportCostRatio       = 0.2
	defaultWorkWeight            = 0.25
	defaultEstimateBytes         = 32 << 20
	defaultPrefillPerToken       = 100 * time.Microsecond
	defaultRateWindow            = 90 * time.Second
	defaultSpreadFactor          = 1.0
	defaultRecentWindow          = 30 * time.Second
	defaultInitialCapacityBlocks = 60
)

func defaultNestedOptions() nestedOptions {
	return nestedOptions{
		seed: 1, estimateBytes: defaultEstimateBytes, prefillPerToken: defaultPrefillPerToken,
		rateWindow: defaultRateWindow, spreadFactor: defaultSpreadFactor, recentWindow: defaultRecentWindow, initialCapacityBlocks: defaultInitialCapacityBlocks,
		workWeight: defaultWorkWeight, importCostRatio: defaultImportCostRatio, onViolation: func(string) {}, homeHitRate: defaultHomeHitRate,
	}
}
