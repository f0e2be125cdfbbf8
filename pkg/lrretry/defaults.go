package lrretry

import "time"

const (
	defaultShare    = 0.2
	defaultCapacity = 256
	defaultFailures = 3
	firstBackoff    = 5 * time.Millisecond
	maxBackoff      = 200 * time.Millisecond
	firstEjection   = 2 * time.Second
	maxEjection     = 30 * time.Second
	probeTimeout    = 10 * time.Second
)

// DefaultBudget returns a Budget of one retry for five first attempts.
func DefaultBudget() *Budget { return NewBudget(defaultShare, defaultCapacity) }

// DefaultBackoff returns a Backoff that starts at a few milliseconds.
func DefaultBackoff() Backoff { return Backoff{Base: firstBackoff, Max: maxBackoff} }

// DefaultEjector returns an Ejector that ejects a backend server after three failures in a row.
func DefaultEjector() *Ejector {
	return NewEjector(EjectorOptions{
		Failures: defaultFailures, Duration: firstEjection, MaxDuration: maxEjection, ProbeTimeout: probeTimeout,
	})
}
