package lrlimit

import "time"

// Homes are the pools of all client accounts of which one instance is the home. They are not safe for use by several
// goroutines.
type Homes struct {
	*HomeLease
	self     Member
	validity time.Duration
	share    float64
	homes    map[string]*Home
}

// NewHomes returns Homes without a view.
func NewHomes(self Member, lease, validity time.Duration) *Homes {
	return &Homes{
		HomeLease: NewHomeLease(self, lease, validity), self: self, validity: validity, homes: map[string]*Home{},
	}
}

// SetShare sets the zone's share of all limits, which the pools apply.
func (h *Homes) SetShare(share float64) { h.share = share }

// Adopt applies a view with a higher number and drops the pools of the accounts that now have another home. It reports
// whether the view was adopted.
func (h *Homes) Adopt(now time.Time, view View) bool {
	if !h.HomeLease.Adopt(now, view) {
		return false
	}
	for account := range h.homes {
		home, _ := view.Home(account)
		if home != h.self {
			delete(h.homes, account)
		}
	}
	return true
}

// Exchange applies a report that is based on the view of the given number. It reports false when this instance is not, or
// not yet, the account's home under that view.
func (h *Homes) Exchange(now time.Time, number uint64, account string, limits Limits, report Report) (Answer, bool, error) {
	if number != h.view.Number || !h.MayGrant(now) || h.share == 0 {
		return Answer{}, false, nil
	}
	home, ok := h.home(now, account, limits.WithShare(h.share))
	if !ok {
		return Answer{}, false, nil
	}
	answer, err := home.Exchange(now, limits.WithShare(h.share), report)
	return answer, true, err
}

// Sweep drops the state of instances that have sent no report for long.
func (h *Homes) Sweep(now time.Time) {
	for _, o := range h.homes {
		o.Sweep(now)
	}
}

// home returns the pool of the account. A new pool counts as refilling since this instance could first take over accounts.
func (h *Homes) home(now time.Time, account string, limits Limits) (*Home, bool) {
	home, ok := h.homes[account]
	if ok {
		return home, true
	}
	member, _ := h.view.Home(account)
	if member != h.self || !h.IsSettled(now) {
		return nil, false
	}
	home = NewHome(h.ReadyAt(), limits, h.validity)
	h.homes[account] = home
	return home, true
}
