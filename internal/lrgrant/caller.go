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

// silenceTime is how long a home that did not answer is left alone.
const silenceTime = time.Second

var errSilent = errors.New("limits: the home did not answer a moment ago; it is tried again soon")

// caller exchanges reports with homes, in this process or another.
type caller struct {
	keeper *Keeper
	server *Server
	sent   *atomic.Uint64
	// silent holds, by the ID of a home that did not answer, when it may be called again.
	silent *sync.Map
}

// ask is one account's part of a call to a home.
type ask struct {
	account *account
	need    float64
	want    float64
	// release gives everything back.
	release bool

	holding  *lrlimit.Holding
	sequence uint64
}

// call reports on accounts that may have different homes in the zone, with one message to each home.
func (c caller) call(ctx context.Context, zone string, asks []*ask) {
	view := c.keeper.View(zone)
	byHome := map[lrlimit.Member][]*ask{}
	for _, a := range asks {
		home, ok := view.Home(a.account.name)
		if ok {
			byHome[home] = append(byHome[home], a)
		}
	}
	for home, group := range byHome {
		c.callHome(ctx, view, home, group)
	}
	if view.Number == 0 {
		c.keeper.Kick(zone)
	}
}

func (c caller) callHome(ctx context.Context, view lrlimit.View, home lrlimit.Member, asks []*ask) {
	sentAt := c.keeper.Clock()
	self := c.keeper.options.Self
	request := &lrpeerpb.AcquireRequest{Daemon: self.Name, Incarnation: self.Incarnation, Zone: view.Zone, View: view.Number}
	for _, a := range asks {
		request.Items = append(request.Items, a.report(sentAt, view.Zone, home))
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.acquire(ctx, home, request)
	if err != nil || !reply.GetTenure() || reply.GetView() != view.Number {
		c.keeper.Kick(view.Zone)
	}
	now := c.keeper.Clock()
	grants := reply.GetGrants()
	for n, a := range asks {
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
	until, silent := c.silent.Load(home.ID())
	if silent && now.Before(until.(time.Time)) {
		return nil, errSilent
	}
	reply, err := c.send(ctx, home, request)
	if err != nil {
		c.silent.Store(home.ID(), now.Add(silenceTime))
	} else if silent {
		c.silent.Delete(home.ID())
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

func (a *ask) report(now time.Time, zone string, home lrlimit.Member) *lrpeerpb.AcquireItem {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding = a.account.state.Holding(zone, home)
	if a.release {
		a.holding.GiveUp()
	}
	report := a.holding.Report(now, a.need, a.want)
	a.sequence = report.Sequence
	item := &lrpeerpb.AcquireItem{
		Account: a.account.name, Need: report.Need, Want: report.Want, Rate: a.account.limits.Rate, Burst: a.account.limits.Burst,
		Sequence: report.Sequence, Used: report.Used, Held: report.Held, Session: report.Daemon,
	}
	for _, c := range report.Credits {
		item.Credits = append(item.Credits, &lrpeerpb.Credit{Tokens: c.Tokens, Mark: c.Mark})
	}
	return item
}

func (a *ask) accept(now, sentAt time.Time, answer lrlimit.Answer) {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding.Accept(now, sentAt, a.sequence, answer)
}

func (a *ask) fail(now time.Time) {
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.holding.Fail(now, a.sequence)
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
