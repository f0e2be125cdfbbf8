// Package lrgrant enforces the rate limits of client accounts over all instances by grants.
//
// The home of an account is the instance that owns the account's token bucket, found by consistent hashing. Each
// availability zone has its own home for an account. A grant is a number of tokens that a home lets another instance use
// for a limited time. A view is a numbered list of the instances of a zone that can be homes. An instance may act as a
// home only while it holds a lease, that is while its view is confirmed by the platform or by a majority of the members.
// The entitlement divides the limits between the zones. The algorithms are in package lrlimit.
package lrgrant

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer"
	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

const (
	entitlementName = "entitlement"
	viewPrefix      = "zone."
	// confirmationsPerLease is how often within its validity a lease is confirmed.
	confirmationsPerLease = 5
	// unsettledRefreshPeriod is the time between refreshes while a view is stale or some members have not adopted it.
	unsettledRefreshPeriod = 100 * time.Millisecond
	// goneAfter is how long a member must be missing from the platform's list before it is removed from the view.
	goneAfter   = 10 * time.Second
	peerTimeout = 300 * time.Millisecond
)

// Options identify the instance and set how long grants and leases last.
type Options struct {
	Self          lrlimit.Member
	Zone          string
	LeaseValidity time.Duration
	GrantValidity time.Duration
	MaxWait       time.Duration
}

// Dependencies are the dependencies of a Keeper.
type Dependencies struct {
	Clock    func() time.Time
	Platform lrplatform.Platform
	// Directory lists the instances. The list may be relayed by peers.
	Directory lrplatform.Directory
	// Candidates returns instances that can be asked for views when none is known.
	Candidates func(ctx context.Context) []lrpeer.Member
	Pool       *lrpeer.Pool
	// RecordViolation records that the named invariant was violated.
	RecordViolation func(name string)
	// RefusedInsideRate records a refusal of a request that the tokens held by all instances together would have covered.
	RefusedInsideRate func()
	Log               zerolog.Logger
}

// A ViewKeeper keeps the views of all zones up to date and renews the lease under which this instance acts as a home. It is
// safe for use by several goroutines.
type ViewKeeper struct {
	Dependencies
	options    Options
	refreshNow chan struct{}
	// readError is the result of the last read of the platform. Only the goroutine of Run uses it.
	readError error

	mutex            sync.Mutex
	homes            *lrlimit.Homes
	entitlement      lrlimit.Entitlement
	otherViews       map[string]lrlimit.View
	staleZones       map[string]bool
	missingSince     map[lrlimit.Member]time.Time
	otherZonesReadAt time.Time
	schedule         readSchedule
}

// NewViewKeeper returns a Keeper without any view.
func NewViewKeeper(options Options, dependencies Dependencies) *ViewKeeper {
	return &ViewKeeper{
		Dependencies: dependencies, options: options, refreshNow: make(chan struct{}, 1),
		homes:      lrlimit.NewHomes(options.Self, options.LeaseValidity, options.GrantValidity),
		otherViews: map[string]lrlimit.View{}, staleZones: map[string]bool{}, missingSince: map[lrlimit.Member]time.Time{},
		schedule: readSchedule{period: options.LeaseValidity / confirmationsPerLease},
	}
}

// Run refreshes the views until the context ends.
func (k *ViewKeeper) Run(ctx context.Context) error {
	for {
		k.refresh(ctx)
		timer := time.NewTimer(k.refreshDelay())
		select {
		case <-timer.C:
		case <-k.refreshNow:
			timer.Stop()
			lrsupervise.Sleep(ctx, unsettledRefreshPeriod)
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// MarkStale marks the view of the zone as stale and triggers a refresh.
func (k *ViewKeeper) MarkStale(zone string) {
	k.mutex.Lock()
	k.staleZones[zone] = true
	k.mutex.Unlock()
	select {
	case k.refreshNow <- struct{}{}:
	default:
	}
}

// IsReady reports whether the homes of this zone are known, so that grants can be requested.
func (k *ViewKeeper) IsReady() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.homes.View().Number > 0 && len(k.entitlement.Zones) > 0
}

// Zones returns the zones with an entitlement, the zone of this instance first.
func (k *ViewKeeper) Zones() []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	zones := []string{k.options.Zone}
	for _, z := range k.entitlement.Zones {
		if z != k.options.Zone {
			zones = append(zones, z)
		}
	}
	return zones
}

// Share returns the share of all limits that the zone is entitled to.
func (k *ViewKeeper) Share(zone string) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.entitlement.Share(zone)
}

// View returns the latest known view of the zone.
func (k *ViewKeeper) View(zone string) lrlimit.View {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if zone == k.options.Zone {
		return k.homes.View()
	}
	return k.otherViews[zone]
}

// refreshDelay returns the time until the next refresh.
func (k *ViewKeeper) refreshDelay() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.homes.View().Contains(k.options.Self) || len(k.homes.PendingMembers()) > 0 || len(k.staleZones) > 0 {
		return unsettledRefreshPeriod
	}
	return k.options.LeaseValidity / confirmationsPerLease
}

// refresh reads the platform and exchanges views with the members. The read has a timeout, so that a platform that hangs
// does not keep the members from confirming the lease.
func (k *ViewKeeper) refresh(ctx context.Context) {
	if k.isReadDue() {
		reading, cancel := context.WithTimeout(ctx, k.options.LeaseValidity/confirmationsPerLease)
		k.readError = k.readPlatform(reading)
		cancel()
	}
	if k.readError != nil {
		k.Log.Debug().Err(k.readError).Msg("limits: platform not read, going on with the views of the peers")
	}
	k.exchangeViews(ctx, k.readError != nil)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.homes.Sweep(k.Clock())
}

// isReadDue reports whether the platform must be read now, and records the read in the schedule.
func (k *ViewKeeper) isReadDue() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.Clock()
	lacking := len(k.staleZones) > 0 || !k.homes.View().Contains(k.options.Self)
	due := k.schedule.isDue(now, lacking, rand.Float64())
	if due {
		k.schedule.recordRead(now, lacking)
	}
	return due
}

// adopt replaces the known view of the zone by the given one if that is newer.
func (k *ViewKeeper) adopt(view lrlimit.View) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if view.Zone != k.options.Zone {
		if view.Number > k.otherViews[view.Zone].Number {
			k.otherViews[view.Zone] = view
		}
		return
	}
	if k.homes.Adopt(k.Clock(), view) {
		k.Log.Info().Uint64("view", view.Number).Int("members", len(view.Members)).Msg("limits: view adopted")
	}
}

// setEntitlement sets the entitlement once. Invalid data and later calls have no effect, since the entitlement never
// changes.
func (k *ViewKeeper) setEntitlement(data []byte) {
	var entitlement lrlimit.Entitlement
	err := json.Unmarshal(data, &entitlement)
	if err != nil || len(entitlement.Zones) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.entitlement.Zones) == 0 {
		k.entitlement = entitlement
		k.homes.SetShare(entitlement.Share(k.options.Zone))
	}
}

// exchangeViews exchanges the numbers and contents of views with the members that are not known to have adopted this
// instance's view. While the platform is down it does so with all members, whose answers confirm the lease, or with
// other candidates when no view is known yet.
func (k *ViewKeeper) exchangeViews(ctx context.Context, platformDown bool) {
	k.mutex.Lock()
	view := k.homes.View()
	members := k.homes.PendingMembers()
	k.mutex.Unlock()
	if platformDown {
		members = view.Members
	}
	if platformDown && len(view.Members) == 0 {
		members = k.candidates(ctx)
	}
	var group sync.WaitGroup
	for _, m := range members {
		if m != k.options.Self {
			group.Go(func() { k.exchangeViewsWith(ctx, m) })
		}
	}
	group.Wait()
}

// candidates returns other instances that may know the views.
func (k *ViewKeeper) candidates(ctx context.Context) []lrlimit.Member {
	var members []lrlimit.Member
	for _, m := range k.Candidates(ctx) {
		if m.PeerAddress != k.options.Self.Address {
			members = append(members, lrlimit.Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress})
		}
	}
	return members
}

func (k *ViewKeeper) exchangeViewsWith(ctx context.Context, m lrlimit.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	connection, err := k.Pool.Connection(m.Address)
	if err != nil {
		return
	}
	sentAt := k.Clock()
	number := k.View(k.options.Zone).Number
	reply, err := lrpeerpb.NewLimitClient(connection).ExchangeViews(ctx, &lrpeerpb.ExchangeViewsRequest{
		Daemon: k.options.Self.ID(), Zone: k.options.Zone, View: number,
	})
	if err != nil {
		return
	}
	k.setEntitlement(reply.GetEntitlement())
	for _, data := range reply.GetViews() {
		var view lrlimit.View
		if json.Unmarshal(data, &view) != nil {
			continue
		}
		k.adopt(view)
		if view.Zone == k.options.Zone && reply.GetDaemon() == m.ID() {
			k.mutex.Lock()
			k.homes.ConfirmByMember(k.Clock(), sentAt, m, view.Number)
			k.mutex.Unlock()
		}
	}
}

// Leave ends the lease of this instance and removes it from the view, so that other members can take over its accounts.
func (k *ViewKeeper) Leave(ctx context.Context) {
	k.mutex.Lock()
	k.homes.Leave()
	k.mutex.Unlock()
	object, view, err := k.readView(ctx, k.options.Zone)
	if err != nil || !slices.Contains(view.Members, k.options.Self) {
		return
	}
	_ = k.writeView(ctx, object, view.WithoutLeaver(k.options.Self))
}
