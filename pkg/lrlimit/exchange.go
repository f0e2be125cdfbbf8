package lrlimit

import "time"

// A Credit gives back tokens that were reported as used and turned out not to be.
type Credit struct {
	Tokens float64
	// Mark is the mark of the Answer that followed the report.
	Mark uint64
}

// A Report is what a daemon tells the home of a client account.
type Report struct {
	// Daemon names the process, with its incarnation.
	Daemon string
	// Sequence rises with every report of the daemon to this home on this account.
	Sequence uint64
	// Used is the number of tokens used since the first report.
	Used float64
	// Held is the number of granted tokens that the daemon can still use. It has given up all others.
	Held float64
	// Need is the number of tokens that a waiting request lacks.
	Need float64
	// Want is the number that would save further reports. It is at least Need.
	Want    float64
	Credits []Credit
}

// An Answer is what a home replies to a Report.
type Answer struct {
	// Accepted is false when the home has seen a later report. Such an answer grants nothing.
	Accepted bool
	// Tokens are granted in addition to those held.
	Tokens float64
	// Validity of all tokens held, counted from the sending of the report.
	Validity time.Duration
	// Level is the number of tokens left in the pool.
	Level float64
	// Elsewhere is the number of tokens that other daemons hold of the home's grants, as last reported.
	Elsewhere float64
	// Mark identifies the exchange in later credits.
	Mark uint64
}
