package lrgrant

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// A Server implements the Limit service: it answers the reports of other instances as a home.
type Server struct {
	lrpeerpb.UnimplementedLimitServer
	keeper *ViewKeeper
}

// NewServer returns a Server that grants tokens from the homes of the keeper.
func NewServer(keeper *ViewKeeper) *Server { return &Server{keeper: keeper} }

// Acquire applies the reports of an instance and grants tokens.
func (s *Server) Acquire(ctx context.Context, request *lrpeerpb.AcquireRequest) (*lrpeerpb.AcquireReply, error) {
	err := ctx.Err()
	if err != nil {
		return nil, err
	}
	k := s.keeper
	k.mutex.Lock()
	reply := &lrpeerpb.AcquireReply{View: k.homes.View().Number, Tenure: request.GetZone() == k.options.Zone}
	for _, item := range request.GetItems() {
		if !reply.GetTenure() {
			break
		}
		grant, ok := s.exchange(request, item)
		reply.Tenure = ok
		reply.Grants = append(reply.Grants, grant)
	}
	k.mutex.Unlock()
	if request.GetZone() == k.options.Zone && request.GetView() > reply.GetView() {
		k.MarkStale(k.options.Zone)
	}
	return reply, nil
}

func (s *Server) exchange(request *lrpeerpb.AcquireRequest, item *lrpeerpb.AcquireItem) (*lrpeerpb.Grant, bool) {
	k := s.keeper
	limits := lrlimit.Limits{Rate: item.GetRate(), Burst: item.GetBurst()}
	answer, ok, err := k.homes.Exchange(k.Clock(), request.GetView(), item.GetAccount(), limits, reportOf(request, item))
	if err != nil {
		k.Log.Error().Err(err).Str("account", item.GetAccount()).Msg("limits: invariant violated")
		k.RecordViolation("limit")
	}
	return grantOf(item.GetAccount(), answer), ok
}

// ExchangeViews returns this instance's view, and the views of the other zones when either side has no view of its own
// yet.
func (s *Server) ExchangeViews(_ context.Context, request *lrpeerpb.ExchangeViewsRequest) (*lrpeerpb.ExchangeViewsReply, error) {
	k := s.keeper
	k.mutex.Lock()
	defer k.mutex.Unlock()
	own := k.homes.View()
	views := []lrlimit.View{own}
	if own.Number == 0 || request.GetView() == 0 {
		for _, v := range k.otherViews {
			views = append(views, v)
		}
	}
	reply := &lrpeerpb.ExchangeViewsReply{Daemon: k.options.Self.ID()}
	for _, v := range views {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		reply.Views = append(reply.Views, data)
	}
	if request.GetZone() == k.options.Zone && request.GetView() > own.Number {
		k.staleZones[k.options.Zone] = true
		select {
		case k.refreshNow <- struct{}{}:
		default:
		}
	}
	if len(k.entitlement.Zones) == 0 {
		return reply, nil
	}
	var err error
	reply.Entitlement, err = json.Marshal(k.entitlement)
	return reply, err
}

func reportOf(request *lrpeerpb.AcquireRequest, item *lrpeerpb.AcquireItem) lrlimit.Report {
	report := lrlimit.Report{
		Session:  request.GetDaemon() + "#" + strconv.FormatUint(request.GetIncarnation(), 10) + item.GetSession(),
		Sequence: item.GetSequence(), Used: item.GetUsed(), Held: item.GetHeld(), Need: item.GetNeed(), Want: item.GetWant(),
	}
	for _, c := range item.GetCredits() {
		report.Credits = append(report.Credits, lrlimit.Credit{Tokens: c.GetTokens(), Mark: c.GetMark()})
	}
	return report
}

func grantOf(account string, answer lrlimit.Answer) *lrpeerpb.Grant {
	return &lrpeerpb.Grant{
		Account: account, Tokens: answer.Tokens, Level: answer.Level, Elsewhere: answer.HeldElsewhere, ValidMillis: uint32(answer.Validity.Milliseconds()), Mark: answer.Mark,
		Accepted: answer.Accepted,
	}
}

func answerOf(grant *lrpeerpb.Grant) lrlimit.Answer {
	return lrlimit.Answer{
		Accepted: grant.GetAccepted(), Tokens: grant.GetTokens(), Level: grant.GetLevel(), HeldElsewhere: grant.GetElsewhere(), Validity: milliseconds(grant.GetValidMillis()), Mark: grant.GetMark(),
	}
}
