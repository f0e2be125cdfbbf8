package lrpaid

import "time"

// A Record is the stored state of one paid action in the platform.
type Record struct {
	Account        string `json:"account"`
	IdempotencyKey string `json:"idempotencyKey"`
	Route          string `json:"route"`
	// Fingerprint identifies the method, route, path and body of the action.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// Owner is the instance that made the last attempt.
	Owner string `json:"owner"`
	// Nonce identifies the last attempt. After a write without a reply it shows whether the write took effect.
	Nonce string `json:"nonce"`
	// RequestID is the request identifier that the last attempt sends to the service.
	RequestID string `json:"requestId"`
	// Servers are the backend servers to which the last attempt may have sent the action.
	Servers   []Server  `json:"servers,omitempty"`
	ClaimedAt time.Time `json:"claimedAt"`
	// DispatchedAt is zero until an attempt has the right to send the action.
	DispatchedAt time.Time `json:"dispatchedAt,omitzero"`
	// Deadline is the time by which the attempt is certain to have ended, by the clock of its owner.
	Deadline   time.Time   `json:"deadline,omitzero"`
	FinishedAt time.Time   `json:"finishedAt,omitzero"`
	Answer     *Answer     `json:"answer,omitempty"`
	Resolution *Resolution `json:"resolution,omitempty"`
}

// A Server is one backend server of a plain service.
type Server struct {
	Name string `json:"name"`
	// Address is the HTTP address, as IP:port.
	Address string `json:"address"`
}

// A Resolution states the outcome of an action whose answer was lost, and who determined it.
type Resolution struct {
	Outcome ResolvedOutcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Who     string          `json:"who"`
	When    time.Time       `json:"when"`
}

// A ResolvedOutcome is the outcome of an action in a Resolution.
type ResolvedOutcome string

const (
	// ResolvedDone means that the action has run.
	ResolvedDone ResolvedOutcome = "done"
	// ResolvedNotRun means that the action has not run and never will.
	ResolvedNotRun ResolvedOutcome = "notRun"
)

// NewRecord returns the record by which the attempt claims a new action.
func NewRecord(now time.Time, attempt Attempt) Record {
	return Record{
		Account: attempt.Account, IdempotencyKey: attempt.IdempotencyKey, Route: attempt.Route,
		Fingerprint: attempt.Fingerprint,
	}.WithClaim(now, attempt)
}

// WithClaim returns the record claimed by the attempt.
func (r Record) WithClaim(now time.Time, attempt Attempt) Record {
	r.State, r.Owner, r.Nonce, r.RequestID = StateClaimed, attempt.Owner, attempt.Nonce, attempt.RequestID
	r.ClaimedAt, r.DispatchedAt, r.Deadline = now.UTC(), time.Time{}, time.Time{}
	return r
}

// WithDispatch returns the record with the right to send to the servers granted to the attempt that has claimed it.
func (r Record) WithDispatch(now time.Time, policy Policy, servers []Server) Record {
	r.State, r.DispatchedAt, r.Servers = StateDispatched, now.UTC(), servers
	r.Deadline = now.Add(policy.SendWindow + policy.CallTimeout).UTC()
	return r
}

// WithRelease returns the record of an attempt that is certain to have sent nothing.
func (r Record) WithRelease() Record {
	r.State = StateReleased
	return r
}

// WithAnswer returns the record with the answer of the service.
func (r Record) WithAnswer(now time.Time, answer Answer) Record {
	r.State, r.FinishedAt, r.Answer = StateDone, now.UTC(), &answer
	return r
}

// WithResolution returns the record with the resolution.
func (r Record) WithResolution(resolution Resolution) Record {
	r.State, r.FinishedAt, r.Resolution = StateResolved, resolution.When.UTC(), &resolution
	return r
}

// Expired reports whether the record may be removed. An action in doubt is kept indefinitely.
func (r Record) Expired(now time.Time, retention time.Duration) bool {
	switch r.State {
	case StateDone, StateResolved:
		return now.Sub(r.FinishedAt) > retention
	case StateClaimed, StateReleased:
		return now.Sub(r.ClaimedAt) > retention
	default:
		return false
	}
}

// InDoubt reports whether the action was dispatched by an attempt that must have ended without recording an answer.
func (r Record) InDoubt(now time.Time) bool {
	return r.State == StateDispatched && now.After(r.Deadline)
}

// IsSentAgain reports whether the present record is that of another attempt, which may have sent the action that was sent under this
// record.
func (r Record) IsSentAgain(present Record) bool {
	return present.Nonce != r.Nonce && present.State != StateClaimed && present.State != StateReleased
}
