package lrregistry

import (
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// A KVStoreConsumer receives the list of KV stores, the external stores of key/value cache blocks.
type KVStoreConsumer interface {
	SetKVStores(now time.Time, stores []lrroute.KVStore)
}

// WithKVStores makes the registry pass the list of KV stores to the consumer.
func WithKVStores(consumer KVStoreConsumer) Option {
	return func(r *Registry) { r.kvStoreConsumer = consumer }
}

func (r *Registry) publishKVStores(now time.Time) {
	if r.kvStoreConsumer == nil {
		return
	}
	var stores []lrroute.KVStore
	for _, s := range r.Servers(lrplatform.RoleKVStore) {
		if !s.Leaving {
			stores = append(stores, lrroute.KVStore{Address: s.Address, Zone: s.Zone})
		}
	}
	r.kvStoreConsumer.SetKVStores(now, stores)
}
