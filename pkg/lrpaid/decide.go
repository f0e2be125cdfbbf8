package lrpaid

import "time"

// A Step is the next action of an attempt.
type Step string

const (
	// StepCreate writes the attempt's claim as a new record.
	StepCreate Step = "create"
	// StepTakeOver replaces a released or stale claim by the attempt's own.
	StepTakeOver Step = "takeOver"
	// StepDispatch turns the attempt's claim into the right to send.
	StepDispatch Step = "dispatch"
	// StepSend sends the action to the service, once.
	StepSend Step = "send"
	// StepWait reads the record again after a delay.
	StepWait Step = "wait"
	// StepQuery asks the service for the outcome of an earlier attempt.
	StepQuery Step = "query"
	// StepReplay answers from the record.
	StepReplay Step = "replay"
	// StepReportResolved answers with the recorded resolution.
	StepReportResolved Step = "reportResolved"
	// StepReportUnknown answers that an earlier attempt may have run.
	StepReportUnknown Step = "reportUnknown"
	// StepRefuseMismatch refuses a different action under the same idempotency key.
	StepRefuseMismatch Step = "refuseMismatch"
)

// A Policy holds the timeouts of an attempt.
type Policy struct {
	// CommitTimeout bounds the time until an attempt has the right to send.
	CommitTimeout time.Duration
	// SendWindow is the longest time between the start of the write that dispatches the action and the start of the
	// sending.
	SendWindow time.Duration
	// CallTimeout bounds the call to the service.
	CallTimeout time.Duration
	// TakeOverAfter is how long another attempt's claim must stay unchanged before it is taken over.
	TakeOverAfter time.Duration
	// WaitLimit is the longest wait for the outcome of another attempt.
	WaitLimit time.Duration
	// CanQuery means that the service can be asked for outcomes.
	CanQuery bool
}

// A View is what an attempt knows of the record.
type View struct {
	// Exists means that there is a record.
	Exists bool
	Record Record
	// UnchangedFor is how long the attempt has seen the record unchanged.
	UnchangedFor time.Duration
	// WaitedFor is how long ago the attempt started.
	WaitedFor time.Duration
	// IsHeld means that the record of an earlier attempt may be lost and is not written again yet.
	IsHeld bool
}

// Decide returns the next step of an attempt that has not sent the action. While the view is held, the attempt waits in place of coming closer
// to sending.
func Decide(now time.Time, attempt Attempt, view View, policy Policy) Step {
	step := decide(now, attempt, view, policy)
	leadsToSending := step == StepCreate || step == StepTakeOver || step == StepDispatch
	if view.IsHeld && leadsToSending {
		return StepWait
	}
	return step
}

func decide(now time.Time, attempt Attempt, view View, policy Policy) Step {
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

// SendDeadline returns the time from which an attempt must no longer send the action, given the time at which it started
// the dispatching write.
func (p Policy) SendDeadline(dispatchBegan time.Time) time.Time {
	return dispatchBegan.Add(p.SendWindow)
}

// Resolvable reports whether an operator may resolve the action, because no attempt can still be in progress.
func Resolvable(now time.Time, record Record) bool { return record.InDoubt(now) }
