package lrpaid

import "time"

// A Step is what an attempt does next.
type Step string

const (
	// StepCreate writes the claim as a new record.
	StepCreate Step = "create"
	// StepTakeOver replaces a claim that is not pursued by the attempt's own.
	StepTakeOver Step = "takeOver"
	// StepDispatch turns the attempt's claim into the right to send.
	StepDispatch Step = "dispatch"
	// StepSend sends the action to the service, once.
	StepSend Step = "send"
	// StepWait reads the record again after a pause.
	StepWait Step = "wait"
	// StepQuery asks the service for the outcome of an earlier attempt.
	StepQuery Step = "query"
	// StepReplay answers from the record.
	StepReplay Step = "replay"
	// StepReportResolved answers with what somebody has found out.
	StepReportResolved Step = "reportResolved"
	// StepReportUnknown answers that an earlier attempt may have run.
	StepReportUnknown Step = "reportUnknown"
	// StepRefuseMismatch refuses another action under the same idempotency key.
	StepRefuseMismatch Step = "refuseMismatch"
)

// A Policy bounds how long the steps of an attempt take.
type Policy struct {
	// CommitTimeout bounds the time until an attempt has won the right to send.
	CommitTimeout time.Duration
	// SendWindow is the longest time between the start of the dispatching write and the sending.
	SendWindow time.Duration
	// CallTimeout bounds the call to the service.
	CallTimeout time.Duration
	// TakeOverAfter is how long another attempt's claim must stand unchanged before it is taken over.
	TakeOverAfter time.Duration
	// WaitLimit is the longest wait for the outcome of another attempt.
	WaitLimit time.Duration
	// CanQuery tells that the service can be asked for outcomes.
	CanQuery bool
}

// A View is what an attempt knows of the record.
type View struct {
	// Exists tells that there is a record.
	Exists bool
	Record Record
	// UnchangedFor is how long the attempt has seen the record as it is.
	UnchangedFor time.Duration
	// WaitedFor is how long ago the attempt began.
	WaitedFor time.Duration
}

// Decide returns the next step of an attempt that has not sent the action.
func Decide(now time.Time, attempt Attempt, view View, policy Policy) Step {
	if !view.Exists {
		return StepCreate
	}
	if view.Record.Fingerprint != attempt.Fingerprint {
		return StepRefuseMismatch
	}
	switch view.Record.State {
	case StateClaimed:
		return decideClaimed(attempt, view, policy)
	case StateReleased:
		return StepTakeOver
	case StateDispatched:
		return decideDispatched(now, attempt, view, policy)
	case StateDone:
		return StepReplay
	case StateResolved:
		return StepReportResolved
	default:
		return StepReportUnknown
	}
}

func decideClaimed(attempt Attempt, view View, policy Policy) Step {
	switch {
	case view.Record.Nonce == attempt.Nonce:
		return StepDispatch
	case view.UnchangedFor >= policy.TakeOverAfter:
		return StepTakeOver
	default:
		return StepWait
	}
}

func decideDispatched(now time.Time, attempt Attempt, view View, policy Policy) Step {
	switch {
	case view.Record.Nonce == attempt.Nonce:
		return StepSend
	case policy.CanQuery && view.Record.InDoubt(now):
		return StepQuery
	case view.WaitedFor < policy.WaitLimit:
		return StepWait
	default:
		return StepReportUnknown
	}
}

// SendBefore returns the time from which an attempt that began its dispatching write at the given time must not send
// the action any more.
func (p Policy) SendBefore(dispatchBegan time.Time) time.Time {
	return dispatchBegan.Add(p.SendWindow)
}

// Resolvable reports whether an operator may settle the action: no attempt at it can be under way.
func Resolvable(now time.Time, record Record) bool { return record.InDoubt(now) }
