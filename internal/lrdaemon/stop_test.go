package lrdaemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/internal/lrtls/lrtlstest"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
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

// TestLateRequestIsRefusedInAPlannedStop sends the rest of a paid request when the instance has been stopping for a while. It was passed on,
// ran, and was cut at the end of the drain timeout with its outcome unknown. It must be refused as not run, so that another instance may
// run it.
func TestLateRequestIsRefusedInAPlannedStop(t *testing.T) {
	const drainTimeout, work, late = time.Second, 3 * time.Second, 300 * time.Millisecond
	h := newHarness(t, 1)
	d := h.startDaemon("router-1", func(s *lrsettings.Settings) {
		s.Server.DrainDelay, s.Server.DrainTimeout = 10*time.Millisecond, drainTimeout
	})
	h.control(h.service, "/control/faults", lrstub.Faults{Delay: work})
	c, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	requireNoError(t, err)
	defer func() { _ = c.Close() }()
	head := "POST /disbursements HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + h.key.Reveal() + "\r\nIdempotency-Key: action-1\r\n"
	_, err = io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(paidBody))+"\r\n\r\n"+paidBody[:1])
	requireNoError(t, err)
	time.Sleep(late)
	d.stop()
	time.Sleep(late)
	_, err = io.WriteString(c, paidBody[1:])
	requireNoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	requireNoError(t, err)
	text, err := io.ReadAll(response.Body)
	requireNoError(t, err)
	_ = response.Body.Close()
	requireEqual(t, response.StatusCode, http.StatusServiceUnavailable, "status")
	requireEqual(t, strings.Contains(string(text), string(lrerror.NotRun)), true, "the answer says that the request has not run")
	requireNoError(t, <-d.result)
	requireEqual(t, h.effects("action-1"), 0, "effects")
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
