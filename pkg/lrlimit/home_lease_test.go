package lrlimit_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

func members(names string) []lrlimit.Member {
	members := make([]lrlimit.Member, 0, len(names))
	for _, n := range names {
		members = append(members, lrlimit.Member{Name: string(n), Incarnation: 1})
	}
	return members
}

func viewOf(names string) lrlimit.View {
	view := lrlimit.View{Zone: "zone"}
	for _, m := range members(names) {
		view = view.WithMember(m)
	}
	return view
}

func TestHomeLeaseNeedsPlatformOrMajority(t *testing.T) {
	cases := []struct {
		name     string
		platform time.Duration
		votes    string
		at       time.Duration
		want     bool
	}{
		{"platform within the lease", 0, "", testLease - 1, true},
		{"platform before the lease", 0, "", testLease, false},
		{"majority", -time.Hour, "bc", testLease - 1, true},
		{"no majority", -time.Hour, "b", testLease - 1, false},
		{"majority before the lease", -time.Hour, "bcd", testLease, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			view := viewOf("abcde")
			homeLease := lrlimit.NewHomeLease(members("a")[0], testLease, testValidity)
			homeLease.Adopt(start(), view)
			homeLease.ConfirmByPlatform(start().Add(c.platform))
			for _, m := range members(c.votes) {
				homeLease.ConfirmByMember(start(), start(), m, view.Number)
			}
			if got := homeLease.MayGrant(start().Add(c.at)); got != c.want {
				t.Errorf("may grant is %t, want %t", got, c.want)
			}
		})
	}
}

func TestTakeoverWaitsForEveryMember(t *testing.T) {
	gone, _ := viewOf("abcde").WithoutGone(members("e"), true)
	restarted := lrlimit.Member{Name: "c", Incarnation: 2}
	moved := lrlimit.Member{Name: "c", Incarnation: 2, Address: "elsewhere"}
	cases := []struct {
		name  string
		view  lrlimit.View
		delay time.Duration
	}{
		{"a member joined", viewOf("abc"), lrlimit.WithMargin(testValidity)},
		{"a member left", viewOf("abc").WithoutLeaver(members("c")[0]), lrlimit.WithMargin(testValidity)},
		{"a member has restarted", viewOf("abc").WithMember(restarted), lrlimit.WithMargin(testValidity)},
		{"a member has restarted at another address", viewOf("abc").WithMember(moved), lrlimit.WithMargin(testValidity) + lrlimit.WithMargin(testLease)},
		{"a member is gone", gone, lrlimit.WithMargin(testValidity) + lrlimit.WithMargin(testLease)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			homeLease := lrlimit.NewHomeLease(members("a")[0], testLease, testValidity)
			homeLease.Adopt(start(), c.view)
			now := start()
			for _, m := range c.view.Members[1:] {
				checkSettled(t, homeLease, now.Add(time.Hour), false)
				now = now.Add(time.Second)
				homeLease.ConfirmByMember(now, now, m, c.view.Number)
			}
			checkSettled(t, homeLease, now.Add(c.delay-1), false)
			checkSettled(t, homeLease, now.Add(c.delay), true)
		})
	}
}

func checkSettled(t *testing.T, homeLease *lrlimit.HomeLease, now time.Time, want bool) {
	t.Helper()
	if got := homeLease.IsSettled(now); got != want {
		t.Errorf("settled is %t after %s, want %t", got, now.Sub(start()), want)
	}
}

func TestOnlyMinorityIsRemovedUnconfirmed(t *testing.T) {
	cases := []struct {
		members, gone string
		want          bool
	}{
		{"a", "a", false},
		{"ab", "b", true},
		{"abc", "c", true},
		{"abc", "bc", false},
		{"abcd", "cd", true},
		{"abcde", "cde", false},
	}
	for _, c := range cases {
		t.Run(c.members+" without "+c.gone, func(t *testing.T) {
			_, got := viewOf(c.members).WithoutGone(members(c.gone), true)
			if got != c.want {
				t.Errorf("removal allowed: %t, want %t", got, c.want)
			}
		})
	}
}

func TestRemovalsAddUpUntilSettled(t *testing.T) {
	first, _ := viewOf("abc").WithoutGone(members("c"), true)
	_, allowed := first.WithoutGone(members("b"), false)
	if allowed {
		t.Error("two of three were removed one after the other, although they can still confirm each other")
	}
	_, allowed = first.WithoutGone(members("b"), true)
	if !allowed {
		t.Error("the second removal is not allowed after the first one has settled")
	}
}
