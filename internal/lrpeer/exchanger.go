package lrpeer

import (
	"context"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
)

// An Exchanger sends a membership message to a peer and returns the reply.
type Exchanger interface {
	Exchange(ctx context.Context, address string, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error)
}

type poolExchanger struct{ pool *Pool }

// NewExchanger returns an Exchanger that uses the connections of the pool.
func NewExchanger(pool *Pool) Exchanger { return &poolExchanger{pool: pool} }

func (e *poolExchanger) Exchange(ctx context.Context, address string, request *lrpeerpb.ExchangeRequest) (*lrpeerpb.ExchangeReply, error) {
	connection, err := e.pool.Connection(address)
	if err != nil {
		return nil, err
	}
	return lrpeerpb.NewMembershipClient(connection).Exchange(ctx, request)
}
