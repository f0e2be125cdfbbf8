package lrlimit

import "time"

// A Tenure decides whether a process may act as a home under the view that it has adopted.
//
// It acts only while the platform or a majority of the members, itself included, has confirmed the view within the
// lease. So a process that is cut off from both stops by itself, and all go on while only the platform is down.
// It takes over accounts only when every member has adopted the view and all that was granted before has ended.
type Tenure struct {
	self     Member
	lease    time.Duration
	validity time.Duration
	view     View
	platform time.Time
	votes    map[string]time.Time
	adopted  map[string]bool
	readyAt  time.Time
	left     bool
}

// NewTenure returns a Tenure without a view.
func NewTenure(self Member, lease, validity time.Duration) *Tenure {
	return &Tenure{self: self, lease: lease, validity: validity}
}

// View returns the view that the process has adopted.
func (t *Tenure) View() View { return t.view }

// Adopt takes a view with a higher number and reports whether it did.
func (t *Tenure) Adopt(now time.Time, view View) bool {
	if view.Number <= t.view.Number {
		return false
	}
	t.view = view
	t.platform = time.Time{}
	t.votes = map[string]time.Time{}
	t.adopted = map[string]bool{}
	t.readyAt = time.Time{}
	t.markAdopted(now, t.self)
	return true
}

// ConfirmByPlatform notes that a read of the platform, begun at the given time, has returned the adopted view.
func (t *Tenure) ConfirmByPlatform(sentAt time.Time) {
	if sentAt.After(t.platform) {
		t.platform = sentAt
	}
}

// ConfirmByMember notes that a call to the member, begun at the given time, has returned the number of its view.
func (t *Tenure) ConfirmByMember(now, sentAt time.Time, member Member, number uint64) {
	if number != t.view.Number || !t.view.Contains(member) {
		return
	}
	t.votes[member.ID()] = sentAt
	t.markAdopted(now, member)
}

// Next returns the view that should follow the stored one, if any: with this process in it, and without the members
// that were reported gone.
func (t *Tenure) Next(now time.Time, stored View, gone []Member) (View, bool) {
	switch {
	case t.left || stored.Supersedes(t.self):
		return stored, false
	case !stored.Contains(t.self):
		return stored.WithMember(t.self), true
	case len(gone) == 0:
		return stored, false
	default:
		return stored.WithoutGone(gone, stored.Number == t.view.Number && t.IsSettled(now))
	}
}

// Leave ends the tenure for good.
func (t *Tenure) Leave() { t.left = true }

// Holds reports whether the process may grant tokens of the accounts that it is the home of.
func (t *Tenure) Holds(now time.Time) bool {
	if t.left || !t.view.Contains(t.self) {
		return false
	}
	if !t.platform.IsZero() && now.Sub(t.platform) < t.lease {
		return true
	}
	votes := 1
	for _, sentAt := range t.votes {
		if now.Sub(sentAt) < t.lease {
			votes++
		}
	}
	return 2*votes > len(t.view.Members)
}

// IsSettled reports whether no process acts on an earlier view and every grant made under one has ended, so that the
// process can take over accounts.
func (t *Tenure) IsSettled(now time.Time) bool {
	return !t.readyAt.IsZero() && !now.Before(t.readyAt)
}

// ReadyAt returns when the process could first take over accounts, or the zero time when that is not known yet.
func (t *Tenure) ReadyAt() time.Time { return t.readyAt }

// Waiting returns the members that are not known to have adopted the view.
func (t *Tenure) Waiting() []Member {
	var waiting []Member
	for _, m := range t.view.Members {
		if !t.adopted[m.ID()] {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

func (t *Tenure) markAdopted(now time.Time, m Member) {
	t.adopted[m.ID()] = true
	if !t.readyAt.IsZero() || len(t.Waiting()) > 0 {
		return
	}
	t.readyAt = now.Add(t.quietTime())
}

// quietTime is how long grants made under an earlier view may still be in use after all members have left it.
func (t *Tenure) quietTime() time.Duration {
	switch {
	case t.view.Number == 1:
		return 0
	case len(t.view.Unproved) > 0:
		return WithMargin(t.lease) + WithMargin(t.validity)
	default:
		return WithMargin(t.validity)
	}
}
