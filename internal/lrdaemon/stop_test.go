package lrdaemon

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrtls/lrtlstest"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

func TestGracefulShutdownFinishesStreams(t *testing.T) {
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", nil)
	stream := startStream(t, d, h.key, 300)
	d.stop()
	text, err := io.ReadAll(stream.response.Body)
	requireNoError(t, err)
	requireEqual(t, strings.Contains(string(text), "[DONE]"), true, "the stream is complete")
	requireNoError(t, <-d.result)
}

func TestGracefulShutdownIsBounded(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		stopNow bool
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
			if c.stopNow {
				d.StopNow()
			}
			err := <-d.result
			requireEqual(t, ErrAborted.Has(err) && strings.Contains(err.Error(), c.want), true, "the error says why requests were aborted")
		})
	}
}

func TestInstancesJoinOnlyOverTrustedTLS(t *testing.T) {
	h := newHarness(t, 1)
	trustedAuthority, otherAuthority := lrtlstest.NewAuthority(t), lrtlstest.NewAuthority(t)
	first := h.startDaemon("router-1", func(s *lrsettings.Settings) { s.TLS = peerTLS(t, trustedAuthority, trustedAuthority) })
	join := func(name string, tls lrsettings.TLS) *runningDaemon {
		return h.startDaemon(name, func(s *lrsettings.Settings) {
			s.TLS = tls
			s.Peers.Seeds = []string{first.settings.Instance.PeerAddress}
		})
	}
	join("stranger", peerTLS(t, otherAuthority, trustedAuthority))
	join("plain", lrsettings.TLS{})
	second := join("router-2", peerTLS(t, trustedAuthority, trustedAuthority))
	eventually(t, "the instances find each other", func() bool { return len(second.members.Members()) == 2 })
	requireEqual(t, len(first.members.Members()), 2, "members without the untrusted instances")
}

func peerTLS(t *testing.T, signer, trusted *lrtlstest.Authority) lrsettings.TLS {
	t.Helper()
	certFile, keyFile := signer.Issue(t.TempDir(), 10)
	return lrsettings.TLS{PeerCertFile: certFile, PeerKeyFile: keyFile, PeerCAFile: trusted.File}
}
