// Package lrpaid decides how a paid action, which must run at most once, moves through its record in the platform.
package lrpaid

// A State is how far a paid action has come.
type State string

const (
	// StateClaimed means that an attempt intends to send the action and has not sent it.
	StateClaimed State = "claimed"
	// StateReleased means that the last attempt provably sent nothing. Another one may claim the action.
	StateReleased State = "released"
	// StateDispatched means that an attempt has won the right to send the action. It may have run.
	StateDispatched State = "dispatched"
	// StateDone means that the service has answered the action.
	StateDone State = "done"
	// StateResolved means that an operator or the service has settled an action whose answer was lost.
	StateResolved State = "resolved"
)

// Settled reports whether the outcome of the action is known for good.
func (s State) Settled() bool { return s == StateDone || s == StateResolved }
