package lrlimit

import "time"

// A Credit refunds tokens that were reported as used but were not.
type Credit struct {
	Tokens float64
	// Mark is the mark of the answer to that report.
	Mark uint64
}

// A Report is what an instance sends to the home of a client account.
type Report struct {
	// Session identifies the holding that the report is about. No two holdings share it, even after the restart of an
	// instance.
	Session string
	// Sequence rises with every report of the sender to this home on this account.
	Sequence uint64
	// Used is the number of tokens used since the first report.
	Used float64
	// Held is the number of granted tokens that the sender can still use. It has released all others.
	Held float64
	// Need is the number of tokens that a waiting request lacks.
	Need float64
	// Want is the number of tokens that would save further reports. It is at least Need.
	Want    float64
	Credits []Credit
}

// An Answer is a home's reply to a Report.
type Answer struct {
	// Accepted is false when the home has received a later report. Such an answer grants nothing.
	Accepted bool
	// Tokens are granted in addition to those held.
	Tokens float64
	// Validity is how long all held tokens remain valid, counted from the sending of the report.
	Validity time.Duration
	// Level is the number of tokens left in the pool.
	Level float64
	// HeldElsewhere is the number of tokens of the home's grants that other instances hold, as last reported.
	HeldElsewhere float64
	// Mark identifies the exchange in later credits. Marks of one home rise with every exchange.
	Mark uint64
}
