package lrlimit

import "time"

// A HomeLease decides whether an instance may act as a home under the view that it has adopted.
//
// It may act only while the platform or a majority of the members, itself included, has confirmed the view within the lease
// time. So an instance that is partitioned from both stops by itself, and all members continue while only the platform is
// down. It takes over accounts only when every member has adopted the view and all earlier grants have ended.
type HomeLease struct {
	self Member
	// lease is how long a confirmation of the view counts, and validity how long a grant lasts.
	lease               time.Duration
	validity            time.Duration
	view                View
	platformConfirmedAt time.Time
	memberConfirmedAt   map[string]time.Time
	adoptedBy           map[string]bool
	readyAt             time.Time
	hasLeft             bool
}

// NewHomeLease returns a HomeLease without a view.
func NewHomeLease(self Member, lease, validity time.Duration) *HomeLease {
	return &HomeLease{self: self, lease: lease, validity: validity}
}

// View returns the view that the instance has adopted.
func (l *HomeLease) View() View { return l.view }

// Adopt applies a view with a higher number and reports whether it did.
func (l *HomeLease) Adopt(now time.Time, view View) bool {
	if view.Number <= l.view.Number {
		return false
	}
	l.view = view
	l.platformConfirmedAt = time.Time{}
	l.memberConfirmedAt = map[string]time.Time{}
	l.adoptedBy = map[string]bool{}
	l.readyAt = time.Time{}
	l.recordAdoption(now, l.self)
	return true
}

// ConfirmByPlatform records that a read of the platform, begun at the given time, has returned the adopted view.
func (l *HomeLease) ConfirmByPlatform(sentAt time.Time) {
	if sentAt.After(l.platformConfirmedAt) {
		l.platformConfirmedAt = sentAt
	}
}

// ConfirmByMember records that a call to the member, begun at the given time, has returned the number of its view.
func (l *HomeLease) ConfirmByMember(now, sentAt time.Time, member Member, number uint64) {
	if number != l.view.Number || !l.view.Contains(member) {
		return
	}
	l.memberConfirmedAt[member.ID()] = sentAt
	l.recordAdoption(now, member)
}

// NextView returns the view that should follow the stored one, if any: with this instance in it, and without the members that
// were reported gone.
func (l *HomeLease) NextView(now time.Time, stored View, gone []Member) (View, bool) {
	switch {
	case l.hasLeft || stored.Supersedes(l.self):
		return stored, false
	case !stored.Contains(l.self):
		return stored.WithMember(l.self), true
	case len(gone) == 0:
		return stored, false
	default:
		return stored.WithoutGone(gone, stored.Number == l.view.Number && l.IsSettled(now))
	}
}

// Leave ends the lease permanently.
func (l *HomeLease) Leave() { l.hasLeft = true }

// MayGrant reports whether the instance may grant tokens of the accounts of which it is the home.
func (l *HomeLease) MayGrant(now time.Time) bool {
	if l.hasLeft || !l.view.Contains(l.self) {
		return false
	}
	if !l.platformConfirmedAt.IsZero() && now.Sub(l.platformConfirmedAt) < l.lease {
		return true
	}
	confirmations := 1
	for _, sentAt := range l.memberConfirmedAt {
		if now.Sub(sentAt) < l.lease {
			confirmations++
		}
	}
	return 2*confirmations > len(l.view.Members)
}

// IsSettled reports whether no instance acts on an earlier view and every grant made under one has ended, so that this
// instance can take over accounts.
func (l *HomeLease) IsSettled(now time.Time) bool {
	return !l.readyAt.IsZero() && !now.Before(l.readyAt)
}

// ReadyAt returns when the instance could first take over accounts, or the zero time when that is not known yet.
func (l *HomeLease) ReadyAt() time.Time { return l.readyAt }

// PendingMembers returns the members that are not known to have adopted the view.
func (l *HomeLease) PendingMembers() []Member {
	var waiting []Member
	for _, m := range l.view.Members {
		if !l.adoptedBy[m.ID()] {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

func (l *HomeLease) recordAdoption(now time.Time, m Member) {
	l.adoptedBy[m.ID()] = true
	if !l.readyAt.IsZero() || len(l.PendingMembers()) > 0 {
		return
	}
	l.readyAt = now.Add(l.handoverDelay())
}

// handoverDelay returns how long grants made under an earlier view may remain in use after all members have adopted this
// one. Members whose end is unconfirmed may make grants until their lease expires.
func (l *HomeLease) handoverDelay() time.Duration {
	switch {
	case l.view.Number == 1:
		return 0
	case len(l.view.Unconfirmed) > 0:
		return WithMargin(l.lease) + WithMargin(l.validity)
	default:
		return WithMargin(l.validity)
	}
}
