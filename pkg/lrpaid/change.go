package lrpaid

import "time"

// A Change returns the record that an attempt wants to write over another one. It reports false when the other one
// has to stay.
type Change func(Record) (Record, bool)

// RecordAnswer returns the change by which the attempt records the answer that it got from the service.
func RecordAnswer(now time.Time, attempt Attempt, answer Answer) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != attempt.Nonce || r.State == StateDone {
			return r, false
		}
		return r.WithAnswer(now, answer), true
	}
}

// Release returns the change by which the attempt gives up the right to send. It must have sent nothing.
func Release(attempt Attempt) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != attempt.Nonce || (r.State != StateClaimed && r.State != StateDispatched) {
			return r, false
		}
		return r.WithRelease(), true
	}
}

// Resolve returns the change by which somebody settles the attempt that the observed record shows.
func Resolve(observed Record, resolution Resolution) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != observed.Nonce || r.State != StateDispatched {
			return r, false
		}
		return r.WithResolution(resolution), true
	}
}

// Adopt returns the change by which an answer that the service gave to a query is recorded.
func Adopt(now time.Time, observed Record, answer Answer) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != observed.Nonce || r.State != StateDispatched {
			return r, false
		}
		return r.WithAnswer(now, answer), true
	}
}
