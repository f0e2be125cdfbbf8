package lrquarantine_test

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func crash(digest, server, incarnation, attempt string, isolated bool) lrquarantine.Crash {
	return lrquarantine.Crash{Digest: digest, Server: server, Incarnation: incarnation, AttemptID: attempt, Isolated: isolated}
}

func testOptions() lrquarantine.Options {
	return lrquarantine.Options{SuspectValidity: time.Minute, QuarantineValidity: time.Hour, CrashWindow: time.Second, MaxRequests: 3}
}

func TestReport(t *testing.T) {
	cases := []struct {
		name   string
		second lrquarantine.Crash
		after  int
		want   lrquarantine.State
	}{
		{"isolated crash of another engine", crash("d", "b", "", "2", true), 0, lrquarantine.Quarantined},
		{"isolated crash of the restarted engine", crash("d", "a", "i2", "2", true), 0, lrquarantine.Quarantined},
		{"the same crash seen by another attempt", crash("d", "a", "i1", "2", true), 5, lrquarantine.Suspect},
		{"the same crash reported twice", crash("d", "a", "i1", "1", true), 5, lrquarantine.Suspect},
		{"unnamed incarnation within the window", crash("d", "a", "", "2", true), 0, lrquarantine.Suspect},
		{"unnamed incarnation after the window", crash("d", "a", "", "2", true), 2, lrquarantine.Quarantined},
		{"crash beside other suspects", crash("d", "b", "", "2", false), 0, lrquarantine.Suspect},
		{"crash after the suspicion has ended", crash("d", "b", "", "2", true), 60, lrquarantine.Suspect},
		{"crash of another request", crash("e", "b", "", "2", true), 0, lrquarantine.Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ledger := lrquarantine.NewLedger(testOptions())
			requireEqual(t, ledger.Report(at(0), crash("d", "a", "i1", "1", false)), lrquarantine.Suspect, "after the first crash")
			requireEqual(t, ledger.Report(at(c.after), c.second), c.want, "after the second crash")
			requireEqual(t, ledger.State(at(c.after), c.second.Digest), c.want, "state")
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	ledger := lrquarantine.NewLedger(testOptions())
	ledger.Report(at(0), crash("d", "a", "", "1", false))
	ledger.Report(at(0), crash("d", "b", "", "2", true))
	requireEqual(t, ledger.State(at(3599), "d"), lrquarantine.Quarantined, "state before the end")
	requireEqual(t, ledger.State(at(3600), "d"), lrquarantine.Trusted, "state at the end")
	ledger.Restore(at(3600), crash("d", "a", "", "1", true), time.Minute)
	requireEqual(t, ledger.State(at(3659), "d"), lrquarantine.Quarantined, "restored state")
	requireEqual(t, ledger.State(at(3660), "d"), lrquarantine.Trusted, "restored state at the end")
}

func TestSuspectsRunApart(t *testing.T) {
	ledger := lrquarantine.NewLedger(testOptions())
	ledger.Report(at(0), crash("d", "a", "", "1", false))
	ledger.Report(at(0), crash("e", "a", "", "2", false))
	requireBegin(t, ledger, "d", true, true)
	requireBegin(t, ledger, "e", false, false)
	requireBegin(t, ledger, "trusted", false, true)
	ledger.End("d", "b", true)
	requireBegin(t, ledger, "e", true, true)
	requireEqual(t, ledger.State(at(0), "d"), lrquarantine.Trusted, "state of the completed suspect")
}

func requireBegin(t *testing.T, ledger *lrquarantine.Ledger, digest string, isolated, ok bool) {
	t.Helper()
	gotIsolated, gotOK := ledger.Begin(at(0), digest, "b")
	requireEqual(t, gotIsolated, isolated, "isolated "+digest)
	requireEqual(t, gotOK, ok, "may run "+digest)
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := lrquarantine.NewLedger(testOptions())
	for n, digest := range []string{"a", "b", "c", "d"} {
		ledger.Report(at(n), crash(digest, "s", "", digest, false))
	}
	requireEqual(t, ledger.State(at(4), "a"), lrquarantine.Trusted, "state of the oldest")
	requireEqual(t, ledger.State(at(4), "d"), lrquarantine.Suspect, "state of the newest")
}

func TestDigestSeparatesAccounts(t *testing.T) {
	requireEqual(t, lrquarantine.Digest("a", "m", "p") == lrquarantine.Digest("b", "m", "p"), false, "equal digests of two accounts")
	requireEqual(t, lrquarantine.Digest("a", "bm", "p") == lrquarantine.Digest("ab", "m", "p"), false, "equal digests of shifted fields")
}

func requireEqual[T comparable](t *testing.T, got, want T, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
