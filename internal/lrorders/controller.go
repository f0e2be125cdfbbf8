package lrorders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrorder"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

// contendersPerShard is the number of instances of a zone that contend for the lease of a shard.
const contendersPerShard = 3

// A Controller runs the holders of all shards of this instance's zone. The instances of the zone divide the shards between them.
type Controller struct {
	holders    []*Holder
	membership lrpeer.MemberSource
	mutex      sync.Mutex
	stopped    bool
}

// NewController returns a Duty that does not hold any shard yet.
func NewController(dependencies Dependencies, options Options, membership lrpeer.MemberSource) *Controller {
	c := &Controller{membership: membership}
	for shard := range lrorder.ShardsPerZone {
		c.holders = append(c.holders, NewHolder(dependencies, options, shard))
	}
	return c
}

// Step calls Holder.Step for each shard that this instance holds or contends for.
func (c *Controller) Step(ctx context.Context, _ time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return
	}
	var group sync.WaitGroup
	for shard, h := range c.holders {
		if h.Held() || c.contends(shard) {
			group.Go(func() { h.Step(ctx) })
		}
	}
	group.Wait()
}

// Held returns the number of shards that this instance holds.
func (c *Controller) Held() int {
	count := 0
	for _, h := range c.holders {
		if h.Held() {
			count++
		}
	}
	return count
}

// contends reports whether this instance is one of the first of its zone for the shard, by consistent hashing.
func (c *Controller) contends(shard int) bool {
	self := c.membership.Self()
	var names []string
	for _, m := range c.membership.Members() {
		if m.Zone == self.Zone && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	for range min(contendersPerShard, len(names)) {
		first := lrroute.Owner(fmt.Sprint("orders-", shard), names)
		if names[first] == self.Name {
			return true
		}
		names = append(names[:first], names[first+1:]...)
	}
	return false
}

// Stop waits for the orders in progress, releases every lease and prevents further orders.
func (c *Controller) Stop(ctx context.Context) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	for _, h := range c.holders {
		h.ReleaseLease(ctx)
	}
}
