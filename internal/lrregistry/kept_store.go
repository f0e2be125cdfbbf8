package lrregistry

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// A StoreTaker takes in where the kept-KV stores are.
type StoreTaker interface {
	SetStores(now time.Time, stores []lrroute.Store)
}

// WithStores makes the registry tell where the kept-KV stores are.
func WithStores(taker StoreTaker) Option {
	return func(r *Registry) { r.storeTaker = taker }
}

func (r *Registry) publishStores(now time.Time) {
	if r.storeTaker == nil {
		return
	}
	var stores []lrroute.Store
	for _, s := range r.Servers(lrplatform.RoleKVStore) {
		if !s.Leaving {
			stores = append(stores, lrroute.Store{Address: s.Address, Zone: s.Zone})
		}
	}
	r.storeTaker.SetStores(now, stores)
}
