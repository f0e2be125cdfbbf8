package lrgrant

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// otherZonesPeriod is the time between reads of the views of other zones.
const otherZonesPeriod = 30 * time.Second

// readPlatform adopts the entitlement and the views in the platform, and writes the next view of its own zone when the
// members have changed.
func (k *ViewKeeper) readPlatform(ctx context.Context) error {
	err := k.readEntitlement(ctx)
	if err != nil {
		return err
	}
	err = k.readOtherZones(ctx)
	if err != nil {
		return err
	}
	sentAt := k.Clock()
	object, view, err := k.readView(ctx, k.options.Zone)
	if err != nil {
		return err
	}
	k.adopt(view)
	held := k.View(k.options.Zone)
	if held.Number > view.Number {
		// A platform that has come back from an older copy has lost views, whose numbers must not be given out again.
		return k.writeView(ctx, object, held)
	}
	k.confirmByPlatform(sentAt, view.Number)
	next, changed := k.nextView(ctx, view)
	if !changed {
		return nil
	}
	return k.writeView(ctx, object, next)
}

func (k *ViewKeeper) confirmByPlatform(sentAt time.Time, number uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if number == k.homes.View().Number {
		k.homes.ConfirmByPlatform(sentAt)
	}
}

// readEntitlement reads the entitlement once. When there is none it creates one for the zones that have routers now.
func (k *ViewKeeper) readEntitlement(ctx context.Context) error {
	if k.Share(k.options.Zone) > 0 {
		return nil
	}
	object, err := k.Platform.Get(ctx, lrplatform.KindView, entitlementName)
	if lrplatform.ErrNotFound.Has(err) {
		object, err = k.createEntitlement(ctx)
	}
	if err != nil {
		return err
	}
	k.setEntitlement(object.Value)
	return nil
}

func (k *ViewKeeper) createEntitlement(ctx context.Context) (lrplatform.Object, error) {
	instances, err := k.Directory.Instances(ctx)
	if err != nil {
		return lrplatform.Object{}, err
	}
	zones := []string{k.options.Zone}
	for _, i := range instances {
		if i.Role == lrplatform.RoleRouter {
			zones = append(zones, i.Zone)
		}
	}
	slices.Sort(zones)
	value, err := json.Marshal(lrlimit.Entitlement{Zones: slices.Compact(zones)})
	if err != nil {
		return lrplatform.Object{}, err
	}
	return k.Platform.Create(ctx, lrplatform.KindView, entitlementName, value)
}

func (k *ViewKeeper) readOtherZones(ctx context.Context) error {
	now := k.Clock()
	k.mutex.Lock()
	allDue := now.Sub(k.otherZonesReadAt) > otherZonesPeriod
	staleZones := k.staleZones
	k.staleZones = map[string]bool{}
	k.mutex.Unlock()
	for _, z := range k.Zones() {
		if z == k.options.Zone || (!allDue && !staleZones[z] && k.View(z).Number > 0) {
			continue
		}
		_, view, err := k.readView(ctx, z)
		if err != nil {
			return err
		}
		k.adopt(view)
	}
	if allDue {
		k.mutex.Lock()
		k.otherZonesReadAt = now
		k.mutex.Unlock()
	}
	return nil
}

// readView returns the view of the zone and its object in the platform. A zone without a view has one of number zero.
func (k *ViewKeeper) readView(ctx context.Context, zone string) (lrplatform.Object, lrlimit.View, error) {
	object, err := k.Platform.Get(ctx, lrplatform.KindView, viewPrefix+zone)
	if lrplatform.ErrNotFound.Has(err) {
		return lrplatform.Object{}, lrlimit.View{Zone: zone}, nil
	}
	if err != nil {
		return object, lrlimit.View{}, err
	}
	var view lrlimit.View
	err = json.Unmarshal(object.Value, &view)
	return object, view, err
}

// writeView replaces the view that was read by the next one and adopts it. After a conflict the next refresh tries again.
func (k *ViewKeeper) writeView(ctx context.Context, object lrplatform.Object, next lrlimit.View) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if object.Version == 0 {
		_, err = k.Platform.Create(ctx, lrplatform.KindView, viewPrefix+next.Zone, value)
	} else {
		_, err = k.Platform.Update(ctx, object.WithValue(value))
	}
	if err != nil {
		return err
	}
	k.adopt(next)
	return nil
}

// nextView returns the view that should follow and reports whether there is one.
func (k *ViewKeeper) nextView(ctx context.Context, view lrlimit.View) (lrlimit.View, bool) {
	gone := k.goneMembers(ctx, view)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.homes.NextView(k.Clock(), view, gone)
}

// goneMembers returns the members that have been missing from the platform's list for more than goneAfter.
func (k *ViewKeeper) goneMembers(ctx context.Context, view lrlimit.View) []lrlimit.Member {
	instances, err := k.Directory.Instances(ctx)
	now := k.Clock()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil {
		clear(k.missingSince)
		return nil
	}
	var gone []lrlimit.Member
	for _, m := range view.Members {
		listed := slices.ContainsFunc(instances, func(i lrplatform.Instance) bool { return i.Name == m.Name })
		if listed || m == k.options.Self {
			delete(k.missingSince, m)
			continue
		}
		since, known := k.missingSince[m]
		if !known {
			k.missingSince[m] = now
		}
		if known && now.Sub(since) > goneAfter {
			gone = append(gone, m)
		}
	}
	return gone
}
