package lredge

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

const (
	// cacheCheckInterval is the time between two checks whether engines and other instances are known after a start.
	cacheCheckInterval = 20 * time.Millisecond
	// cacheReadTimeout limits one read of a cache.
	cacheReadTimeout = 500 * time.Millisecond
	// cacheDiscoveryTimeout is how long after its start an instance waits for engines whose caches it can read.
	cacheDiscoveryTimeout = 3 * time.Second
)

// wireCaches makes the instance read after a restart what the caches of engines and the KV stores contain: all instances may have
// restarted at once, and no other one could report it. Each cache is read by one instance, which sends the result to the others.
func (d *Daemon) wireCaches() {
	d.supervisor.Add("learnCaches", func(ctx context.Context) error {
		if !d.settings.Instance.FirstStart {
			d.readCaches(ctx)
		}
		<-ctx.Done()
		return nil
	})
}

// readCaches waits for the routing table, engines and other instances, then reads the caches that this instance is responsible for.
func (d *Daemon) readCaches(ctx context.Context) {
	deadline := d.clock().Add(cacheDiscoveryTimeout)
	for d.directory.Table() == nil || len(d.directory.All()) == 0 || d.instances.Version().Revision == 0 {
		if !lrsupervise.Sleep(ctx, cacheCheckInterval) || d.clock().After(deadline) {
			return
		}
	}
	for _, s := range d.directory.All() {
		if len(s.Versions) > 0 && d.sharer.IsOwner(s.ID, s.Zone) {
			d.supervisor.Go("readCache", func() { d.readCache(ctx, s.Address, s.ID, s.ID) })
		}
	}
	for _, s := range d.kvStores() {
		if d.sharer.IsOwner(s.Address, s.Zone) {
			d.supervisor.Go("readCache", func() { d.readCache(ctx, s.Address, "", lrbalance.StoreName(s.Address)) })
		}
	}
}

// readCache reads one cache and records its contents under the name by which the balancer knows it. With an empty server, the
// identity of the server at the address is not checked.
func (d *Daemon) readCache(ctx context.Context, address, server, name string) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	blocks, err := d.ports.CacheReader.CachedBlocks(ctx, address, server)
	if err != nil {
		d.log.Warn().Err(err).Str("server", server).Str("address", address).Msg("edge: cache not read")
		return
	}
	keys := make([]lrbalance.Key, 0, len(blocks))
	for _, b := range blocks {
		key, ok := b.Key()
		if ok {
			keys = append(keys, key)
		}
	}
	d.balancer.RecordCached(d.clock(), name, keys)
	d.log.Info().Str("server", server).Str("address", address).Int("parts", len(keys)).Msg("edge: cache read")
}
