package lrdaemon

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrtls/lrtlstest"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

func TestPlannedStopFinishesStreams(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	stream := startStream(t, d, h.key, 300)
	d.stop()
	text, err := io.ReadAll(stream.response.Body)
	requireNoError(t, err)
	requireEqual(t, strings.Contains(string(text), "[DONE]"), true, "the stream is whole")
	requireNoError(t, <-d.result)
}

func TestPlannedStopIsBounded(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		hurry   bool
		want    string
	}{
		{"second signal", time.Hour, true, "second signal"},
		{"deadline", time.Millisecond, false, "drainTimeout"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			d := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.Server.DrainTimeout = c.timeout })
			startStream(t, d, h.key, endlessTokens)
			d.stop()
			if c.hurry {
				d.StopNow()
			}
			err := <-d.result
			requireEqual(t, ErrCut.Has(err) && strings.Contains(err.Error(), c.want), true, "the error says why requests were cut")
		})
	}
}

func TestInstancesJoinOverTLSAlone(t *testing.T) {
	h := newHarness(t, 1)
	ours, theirs := lrtlstest.NewAuthority(t), lrtlstest.NewAuthority(t)
	first := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.TLS = peerTLS(t, ours, ours) })
	join := func(name string, tls lrsettings.TLS) *runningDaemon {
		return h.startDaemon(name, func(s *lrsettings.Settings) {
			s.TLS = tls
			s.Peers.Seeds = []string{first.settings.Instance.PeerAddress}
		})
	}
	join("stranger", peerTLS(t, theirs, ours))
	join("plain", lrsettings.TLS{})
	second := join("router-2", peerTLS(t, ours, ours))
	eventually(t, "the instances find each other", func() bool { return len(second.roster.Members()) == 2 })
	requireEqual(t, len(first.roster.Members()), 2, "members, strangers not among them")
}

func peerTLS(t *testing.T, signer, trusted *lrtlstest.Authority) lrsettings.TLS {
	t.Helper()
	certFile, keyFile := signer.Issue(t.TempDir(), 10)
	return lrsettings.TLS{PeerCertFile: certFile, PeerKeyFile: keyFile, PeerCAFile: trusted.File}
}
