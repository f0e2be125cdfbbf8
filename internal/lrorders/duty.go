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

// contenders is the number of instances of a zone that contend for the lease of a shard.
const contenders = 3

// A Duty keeps the shards of the own zone held, together with the other instances of the zone.
type Duty struct {
	holders []*Holder
	roster  lrpeer.Roster
	mutex   sync.Mutex
	stopped bool
}

// NewDuty returns the Duty of an instance.
func NewDuty(parts Parts, options Options, roster lrpeer.Roster) *Duty {
	d := &Duty{roster: roster}
	for shard := range lrorder.ShardsPerZone {
		d.holders = append(d.holders, NewHolder(parts, options, shard))
	}
	return d
}

// Step makes one step for each shard that this instance holds or contends for.
func (d *Duty) Step(ctx context.Context, _ time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stopped {
		return
	}
	var group sync.WaitGroup
	for shard, h := range d.holders {
		if h.Held() || d.contends(shard) {
			group.Go(func() { h.Step(ctx) })
		}
	}
	group.Wait()
}

// Held returns the number of shards that this instance holds.
func (d *Duty) Held() int {
	count := 0
	for _, h := range d.holders {
		if h.Held() {
			count++
		}
	}
	return count
}

// contends reports whether this instance is among the first of its zone for the shard.
func (d *Duty) contends(shard int) bool {
	self := d.roster.Self()
	var names []string
	for _, m := range d.roster.Members() {
		if m.Zone == self.Zone && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	for range min(contenders, len(names)) {
		first := lrroute.Owner(fmt.Sprint("orders-", shard), names)
		if names[first] == self.Name {
			return true
		}
		names = append(names[:first], names[first+1:]...)
	}
	return false
}

// Stop waits for the order under way, hands every lease back and gives no more orders.
func (d *Duty) Stop(ctx context.Context) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopped = true
	for _, h := range d.holders {
		h.HandBack(ctx)
	}
}
