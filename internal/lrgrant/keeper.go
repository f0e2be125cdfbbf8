// Package lrgrant moves grants of tokens between daemons and the homes of client accounts.
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
	// votesPerLease is how often within a lease a process has its tenure confirmed.
	votesPerLease = 5
	// settlePeriod is the time between calls to members that have not adopted a view.
	settlePeriod = 100 * time.Millisecond
	// goneTime is how long an instance must be missing from the platform's list before it counts as gone.
	goneTime    = 10 * time.Second
	peerTimeout = 300 * time.Millisecond
)

// Options say how long grants and tenures last, and who the process is.
type Options struct {
	Self          lrlimit.Member
	Zone          string
	LeaseValidity time.Duration
	GrantValidity time.Duration
	MaxWait       time.Duration
}

// Parts are what a Keeper works with.
type Parts struct {
	Clock    func() time.Time
	Platform lrplatform.Platform
	// Directory is the list of instances. It may be relayed by peers.
	Directory lrplatform.Directory
	// Candidates returns instances that can be asked for views when none is known.
	Candidates func(ctx context.Context) []lrpeer.Member
	Pool       *lrpeer.Pool
	// Violation counts a violated invariant.
	Violation func(name string)
	// RefusedInsideRate counts a refusal of a request that the tokens held by all daemons would have covered.
	RefusedInsideRate func()
	Log               zerolog.Logger
}

// A Keeper keeps the views of all zones up to date, and the tenure of this process as a home.
type Keeper struct {
	Parts
	options Options
	kick    chan struct{}
	// readError is the result of the last reading of the platform. It belongs to the goroutine of Run.
	readError error

	mutex       sync.Mutex
	homes       *lrlimit.Homes
	entitlement lrlimit.Entitlement
	others      map[string]lrlimit.View
	stale       map[string]bool
	missing     map[lrlimit.Member]time.Time
	readAt      time.Time
	schedule    readSchedule
}

// NewKeeper returns a Keeper that knows no view.
func NewKeeper(options Options, parts Parts) *Keeper {
	return &Keeper{
		Parts: parts, options: options, kick: make(chan struct{}, 1),
		homes:  lrlimit.NewHomes(options.Self, options.LeaseValidity, options.GrantValidity),
		others: map[string]lrlimit.View{}, stale: map[string]bool{}, missing: map[lrlimit.Member]time.Time{},
		schedule: readSchedule{period: options.LeaseValidity / votesPerLease},
	}
}

// Run keeps the views until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for {
		k.refresh(ctx)
		timer := time.NewTimer(k.pause())
		select {
		case <-timer.C:
		case <-k.kick:
			timer.Stop()
			lrsupervise.Sleep(ctx, settlePeriod)
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// Kick makes the keeper look at the views of the zone at once.
func (k *Keeper) Kick(zone string) {
	k.mutex.Lock()
	k.stale[zone] = true
	k.mutex.Unlock()
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// IsReady reports whether the homes of this zone are known, so that grants can be asked for.
func (k *Keeper) IsReady() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.homes.View().Number > 0 && len(k.entitlement.Zones) > 0
}

// Zones returns the zones with an entitlement, this process's own first.
func (k *Keeper) Zones() []string {
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
func (k *Keeper) Share(zone string) float64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.entitlement.Share(zone)
}

// View returns the latest view of the zone that is known.
func (k *Keeper) View(zone string) lrlimit.View {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if zone == k.options.Zone {
		return k.homes.View()
	}
	return k.others[zone]
}

// pause is the time until the next refresh.
func (k *Keeper) pause() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.homes.View().Contains(k.options.Self) || len(k.homes.Waiting()) > 0 || len(k.stale) > 0 {
		return settlePeriod
	}
	return k.options.LeaseValidity / votesPerLease
}

// refresh reads the platform and asks the members. A platform that hangs takes no time from the members.
func (k *Keeper) refresh(ctx context.Context) {
	if k.isReadDue() {
		reading, cancel := context.WithTimeout(ctx, k.options.LeaseValidity/votesPerLease)
		k.readError = k.readPlatform(reading)
		cancel()
	}
	if k.readError != nil {
		k.Log.Debug().Err(k.readError).Msg("limits: platform not read, going on with the views of the peers")
	}
	k.askMembers(ctx, k.readError != nil)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.homes.Sweep(k.Clock())
}

// isReadDue reports whether the platform is to be read now, and notes that it is.
func (k *Keeper) isReadDue() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.Clock()
	lacking := len(k.stale) > 0 || !k.homes.View().Contains(k.options.Self)
	due := k.schedule.isDue(now, lacking, rand.Float64())
	if due {
		k.schedule.read(now, lacking)
	}
	return due
}

// adopt takes the view in if it is newer than the known one.
func (k *Keeper) adopt(view lrlimit.View) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if view.Zone != k.options.Zone {
		if view.Number > k.others[view.Zone].Number {
			k.others[view.Zone] = view
		}
		return
	}
	if k.homes.Adopt(k.Clock(), view) {
		k.Log.Info().Uint64("view", view.Number).Int("members", len(view.Members)).Msg("limits: view adopted")
	}
}

// entitle takes in the division of the limits. It never changes afterwards.
func (k *Keeper) entitle(data []byte) {
	var entitlement lrlimit.Entitlement
	err := json.Unmarshal(data, &entitlement)
	if err != nil || len(entitlement.Zones) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if len(k.entitlement.Zones) == 0 {
		k.entitlement = entitlement
		k.homes.Entitle(entitlement.Share(k.options.Zone))
	}
}

// askMembers tells the other members which view is in force here and hears which is in force there. While the
// platform is down the answers confirm the tenure, and a process that knows no view learns it.
func (k *Keeper) askMembers(ctx context.Context, platformDown bool) {
	k.mutex.Lock()
	view := k.homes.View()
	ask := k.homes.Waiting()
	k.mutex.Unlock()
	if platformDown {
		ask = view.Members
	}
	if platformDown && len(view.Members) == 0 {
		ask = k.candidates(ctx)
	}
	var group sync.WaitGroup
	for _, m := range ask {
		if m != k.options.Self {
			group.Go(func() { k.askMember(ctx, m) })
		}
	}
	group.Wait()
}

// candidates returns instances to ask for views.
func (k *Keeper) candidates(ctx context.Context) []lrlimit.Member {
	var members []lrlimit.Member
	for _, m := range k.Candidates(ctx) {
		if m.PeerAddress != k.options.Self.Address {
			members = append(members, lrlimit.Member{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress})
		}
	}
	return members
}

func (k *Keeper) askMember(ctx context.Context, m lrlimit.Member) {
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
	k.entitle(reply.GetEntitlement())
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

// Leave ends the tenure of this process and takes it out of the view, so that others can take its accounts over.
func (k *Keeper) Leave(ctx context.Context) {
	k.mutex.Lock()
	k.homes.Leave()
	k.mutex.Unlock()
	object, view, err := k.readView(ctx, k.options.Zone)
	if err != nil || !slices.Contains(view.Members, k.options.Self) {
		return
	}
	_ = k.writeView(ctx, object, view.WithoutLeaver(k.options.Self))
}
