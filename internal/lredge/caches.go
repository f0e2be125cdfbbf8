package lredge

import (
	"context"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

const (
	// cacheLookPause is the time between two looks whether engines and other instances are known after a start.
	cacheLookPause = 20 * time.Millisecond
	// cacheReadTimeout bounds one reading of a cache.
	cacheReadTimeout = 500 * time.Millisecond
	// cacheReadFor is how long after its start an instance looks for engines whose caches to read.
	cacheReadFor = 3 * time.Second
)

// wireCaches makes the instance learn after a restart what engines and kept stores hold: all instances may have restarted, and nobody would
// know. Each cache is read by one instance, which tells the others.
func (d *Daemon) wireCaches() {
	d.supervisor.Add("learnCaches", func(ctx context.Context) error {
		if !d.settings.Instance.FirstStart {
			d.learnCaches(ctx)
		}
		<-ctx.Done()
		return nil
	})
}

func (d *Daemon) learnCaches(ctx context.Context) {
	end := d.clock().Add(cacheReadFor)
	for d.directory.Table() == nil || len(d.directory.All()) == 0 || d.instances.Latest() == 0 {
		if !lrsupervise.Sleep(ctx, cacheLookPause) || d.clock().After(end) {
			return
		}
	}
	for _, s := range d.directory.All() {
		if len(s.Versions) > 0 && d.sharer.IsOwner(s.ID, s.Zone) {
			d.supervisor.Go("readCache", func() { d.readCache(ctx, s.Address, s.ID, s.ID) })
		}
	}
	for _, s := range d.keptStores() {
		if d.sharer.IsOwner(s.Address, s.Zone) {
			d.supervisor.Go("readCache", func() { d.readCache(ctx, s.Address, "", lrbalance.StoreName(s.Address)) })
		}
	}
}

// readCache reads one cache and learns what it holds, under the name by which the balancer knows it. An empty server is not checked.
func (d *Daemon) readCache(ctx context.Context, address, server, name string) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	parts, err := d.ports.Caches.CachedParts(ctx, address, server)
	if err != nil {
		d.log.Warn().Err(err).Str("server", server).Str("address", address).Msg("edge: cache not read")
		return
	}
	keys := make([]lrbalance.Key, 0, len(parts))
	for _, p := range parts {
		key, ok := p.Key()
		if ok {
			keys = append(keys, key)
		}
	}
	d.balancer.Learn(d.clock(), name, keys)
	d.log.Info().Str("server", server).Str("address", address).Int("parts", len(keys)).Msg("edge: cache read")
}
