package lrpaid

import "time"

// A Change computes the record that an attempt writes in place of the present one. It reports false when the present one
// must stay.
type Change func(Record) (Record, bool)

// RecordAnswer returns the change by which the attempt records the answer that it received from the service.
func RecordAnswer(now time.Time, attempt Attempt, answer Answer) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != attempt.Nonce || r.State == StateDone {
			return r, false
		}
		return r.WithAnswer(now, answer), true
	}
}

// Release returns the change by which the attempt abandons its right to send. The attempt must have sent nothing.
func Release(attempt Attempt) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != attempt.Nonce || (r.State != StateClaimed && r.State != StateDispatched) {
			return r, false
		}
		return r.WithRelease(), true
	}
}

// Resolve returns the change that records a resolution for the attempt in the observed record.
func Resolve(observed Record, resolution Resolution) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != observed.Nonce || r.State != StateDispatched {
			return r, false
		}
		return r.WithResolution(resolution), true
	}
}

// RecordQueriedAnswer returns the change that records an answer which the service gave to a query for the attempt in the observed
// record.
func RecordQueriedAnswer(now time.Time, observed Record, answer Answer) Change {
	return func(r Record) (Record, bool) {
		if r.Nonce != observed.Nonce || r.State != StateDispatched {
			return r, false
		}
		return r.WithAnswer(now, answer), true
	}
}

// Restore returns the change that puts the record of an action that was sent in place of an earlier one, to which the platform has gone
// back, or of the claim of an attempt that has not sent the action. One that the same attempt has released since stays: its sending has failed
// before anything was sent.
func Restore(sent Record) Change {
	return func(r Record) (Record, bool) {
		isLater := r.Nonce == sent.Nonce && (r.State == sent.State || r.State == StateReleased)
		if r.State.Settled() || sent.IsSentAgain(r) || isLater {
			return r, false
		}
		return sent, true
	}
}
