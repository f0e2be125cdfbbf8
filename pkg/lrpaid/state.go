// Package lrpaid decides how a paid action, which must run at most once, progresses through its record in the platform.
//
// The caller identifies an action by an idempotency key. Each request for the action is an attempt: it claims the
// record, dispatches it, which gives it the right to send, sends the action to the service and records the answer. An
// action is in doubt when the attempt that dispatched it must have ended without recording an answer.
package lrpaid

// A State is the progress of a paid action.
type State string

const (
	// StateClaimed means that an attempt intends to send the action and has not sent it.
	StateClaimed State = "claimed"
	// StateReleased means that the last attempt is certain to have sent nothing. Another one may claim the action.
	StateReleased State = "released"
	// StateDispatched means that an attempt has the right to send the action. The action may have run.
	StateDispatched State = "dispatched"
	// StateDone means that the service has answered the action.
	StateDone State = "done"
	// StateResolved means that an operator or the service has resolved an action whose answer was lost.
	StateResolved State = "resolved"
)

// Settled reports whether the outcome of the action is final.
func (s State) Settled() bool { return s == StateDone || s == StateResolved }
