package lrpipeline

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrnotice"
)

// maxHeldBackRetryAfter bounds the Retry-After of a request that no server wants: other instances may have some of a limit left.
const maxHeldBackRetryAfter = 5 * time.Second

// startedServer names the server and its start.
func startedServer(server lrfleet.Server) lrnotice.Server {
	return lrnotice.Server{ID: server.ID, Incarnation: server.Incarnation}
}

// observeNotice records what the server says of itself in the head of its answer. Another server at the same address speaks for itself
// alone.
func (r *run) observeNotice(sent time.Time, server lrfleet.Server, reply *Reply) {
	if reply.Refusal == RefusedOtherServer {
		return
	}
	p := r.pipeline
	change := p.Notices.Observe(p.Clock(), sent, startedServer(server), reply.Notice)
	if reply.Notice.IsLeaving {
		p.Directory.MarkLeaving(server.ID, server.Incarnation)
	}
	if !change.IsNone() {
		logNotice(p.Log.Info(), r.ID, server, reply.Notice)
	}
}

func logNotice(event *zerolog.Event, request string, server lrfleet.Server, n lrnotice.Notice) {
	event.Str("request", request).Str("server", server.ID).Int64("incarnation", server.Incarnation).Bool("limited", n.HasLimit).
		Float64("limit", n.Limit).Bool("leaving", n.IsLeaving).Dur("pause", n.Pause).Msg("backend server: notice")
}

// heldBack describes the servers that want no request now.
type heldBack struct {
	// servers are the names of these servers.
	servers []string
	// perSecond is how many requests a second the servers at their limit are expected to take.
	perSecond float64
	// pause is the shortest time until a server takes requests again that has asked this instance for a pause.
	pause time.Duration
}

// add adds a server if it wants no request.
func (h *heldBack) add(server string, decision lrnotice.Decision) {
	if decision.Admission.IsAllowed() {
		return
	}
	h.servers = append(h.servers, server)
	switch decision.Admission {
	case lrnotice.OverLimit:
		h.perSecond += float64(time.Second) / float64(decision.Wait)
	case lrnotice.Paused:
		if h.pause == 0 || decision.Wait < h.pause {
			h.pause = decision.Wait
		}
	case lrnotice.Leaving, lrnotice.Unlimited, lrnotice.WithinLimit:
	}
}

// maxLoggedServers limits the servers in one log line.
const maxLoggedServers = 8

// logged returns the names of the first of the servers.
func (h *heldBack) logged() []string { return h.servers[:min(len(h.servers), maxLoggedServers)] }

// retryAfter returns after how long a request is expected to be taken by one of the servers.
func (h *heldBack) retryAfter() time.Duration {
	wait := maxHeldBackRetryAfter
	if h.perSecond > 0 {
		wait = min(wait, time.Duration(float64(time.Second)/h.perSecond))
	}
	if h.pause > 0 {
		wait = min(wait, h.pause)
	}
	return max(wait, busyRetryAfter)
}
