package lrgrant

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// unreachableDelay is how long a home that did not answer receives no further messages.
const unreachableDelay = time.Second

var errUnreachable = errors.New("limits: the home did not answer a recent call; it is tried again soon")

// caller exchanges reports with homes, in this process or another.
type caller struct {
	keeper *ViewKeeper
	server *Server
	sent   *atomic.Uint64
	// retryAt maps the ID of a home that did not answer to the time from which it may be called again.
	retryAt *sync.Map
}

// accountReport is the report on one account in a call to a home.
type accountReport struct {
	account *account
	need    float64
	want    float64
	// release means that all held tokens are returned to the home.
	release bool

	holding  *lrlimit.Holding
	sequence uint64
}

// call sends the reports, one message to each home in the zone, and applies the answers.
func (c caller) call(ctx context.Context, zone string, reports []*accountReport) {
	view := c.keeper.View(zone)
	byHome := map[lrlimit.Member][]*accountReport{}
	for _, a := range reports {
		home, ok := view.Home(a.account.name)
		if ok {
			byHome[home] = append(byHome[home], a)
		}
	}
	for home, group := range byHome {
		c.callHome(ctx, view, home, group)
	}
	if view.Number == 0 {
		c.keeper.MarkStale(zone)
	}
}

func (c caller) callHome(ctx context.Context, view lrlimit.View, home lrlimit.Member, reports []*accountReport) {
	sentAt := c.keeper.Clock()
	self := c.keeper.options.Self
	request := &lrpeerpb.AcquireRequest{Daemon: self.Name, Incarnation: self.Incarnation, Zone: view.Zone, View: view.Number}
	for _, a := range reports {
		request.Items = append(request.Items, a.beginExchange(sentAt, view.Zone, home))
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.acquire(ctx, home, request)
	if err != nil || !reply.GetTenure() || reply.GetView() != view.Number {
		c.keeper.MarkStale(view.Zone)
	}
	now := c.keeper.Clock()
	grants := reply.GetGrants()
	for n, a := range reports {
		if err != nil || n >= len(grants) {
			a.fail(now)
			continue
		}
		a.accept(now, sentAt, answerOf(grants[n]))
	}
}

func (c caller) acquire(ctx context.Context, home lrlimit.Member, request *lrpeerpb.AcquireRequest) (*lrpeerpb.AcquireReply, error) {
	if home == c.keeper.options.Self {
		return c.server.Acquire(ctx, request)
	}
	now := c.keeper.Clock()
	until, unreachable := c.retryAt.Load(home.ID())
	if unreachable && now.Before(until.(time.Time)) {
		return nil, errUnreachable
	}
	reply, err := c.send(ctx, home, request)
	if err != nil {
		c.retryAt.Store(home.ID(), now.Add(unreachableDelay))
	} else if unreachable {
		c.retryAt.Delete(home.ID())
	}
	return reply, err
}

func (c caller) send(ctx context.Context, home lrlimit.Member, request *lrpeerpb.AcquireRequest) (*lrpeerpb.AcquireReply, error) {
	connection, err := c.keeper.Pool.Connection(home.Address)
	if err != nil {
		return nil, err
	}
	c.sent.Add(1)
	return lrpeerpb.NewLimitClient(connection).Acquire(ctx, request)
}

func (a *accountReport) beginExchange(now time.Time, zone string, home lrlimit.Member) *lrpeerpb.AcquireItem {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding = a.account.state.Holding(zone, home)
	if a.release {
		a.holding.Release()
	}
	report := a.holding.Report(now, a.need, a.want)
	a.sequence = report.Sequence
	item := &lrpeerpb.AcquireItem{
		Account: a.account.name, Need: report.Need, Want: report.Want, Rate: a.account.limits.Rate, Burst: a.account.limits.Burst,
		Sequence: report.Sequence, Used: report.Used, Held: report.Held, Session: report.Session,
	}
	for _, c := range report.Credits {
		item.Credits = append(item.Credits, &lrpeerpb.Credit{Tokens: c.Tokens, Mark: c.Mark})
	}
	return item
}

func (a *accountReport) accept(now, sentAt time.Time, answer lrlimit.Answer) {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding.Accept(now, sentAt, a.sequence, answer)
}

func (a *accountReport) fail(now time.Time) {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding.RecordNoAnswer(now, a.sequence)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
