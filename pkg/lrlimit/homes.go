package lrlimit

import "time"

// Homes are the pools of all client accounts that one process is the home of. They must be guarded by their owner.
type Homes struct {
	*Tenure
	self     Member
	validity time.Duration
	share    float64
	homes    map[string]*Home
}

// NewHomes returns Homes without a view.
func NewHomes(self Member, lease, validity time.Duration) *Homes {
	return &Homes{
		Tenure: NewTenure(self, lease, validity), self: self, validity: validity, homes: map[string]*Home{},
	}
}

// Entitle sets the share of all limits that the pools have together with those of no other zone.
func (h *Homes) Entitle(share float64) { h.share = share }

// Adopt takes a view with a higher number, drops the pools of the accounts that now have another home, and reports
// whether it did.
func (h *Homes) Adopt(now time.Time, view View) bool {
	if !h.Tenure.Adopt(now, view) {
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

// Exchange takes in a report that rests on the view of the given number. It reports false when this process is not
// the account's home under that view, or not yet.
func (h *Homes) Exchange(now time.Time, number uint64, account string, limits Limits, report Report) (Answer, bool, error) {
	if number != h.view.Number || !h.Holds(now) || h.share == 0 {
		return Answer{}, false, nil
	}
	home, ok := h.home(now, account, limits.WithShare(h.share))
	if !ok {
		return Answer{}, false, nil
	}
	answer, err := home.Exchange(now, limits.WithShare(h.share), report)
	return answer, true, err
}

// Sweep forgets what is no longer needed.
func (h *Homes) Sweep(now time.Time) {
	for _, o := range h.homes {
		o.Sweep(now)
	}
}

// home returns the pool of the account. A new one has filled since the process could first take the account over.
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
