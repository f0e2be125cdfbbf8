package lrlease

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// renewDivisor divides the validity: a lease is renewed after that fraction of it.
const renewDivisor = 3

// A Status is the state of a lease that this instance holds.
type Status struct {
	// Fence is the fencing number of the lease.
	Fence uint64
	// Remaining is the time for which the lease is certain to last.
	Remaining time.Duration
	// HeldFor is how long ago this instance acquired the lease.
	HeldFor time.Duration
	// Released means that the previous holder released the lease, and so has no work in progress.
	Released bool
}

// A Keeper acquires, renews and releases one lease. It is safe for use by several goroutines.
type Keeper struct {
	store        lrplatform.Objects
	name         string
	holder       string
	validity     time.Duration
	turnInterval time.Duration
	clock        func() time.Time
	createdAt    time.Time

	mutex  sync.Mutex
	object lrplatform.Object
	lease  Lease
	// firstSeenAt is when the object was first seen as it is, and wasRestored is set once the store has named another era than before.
	firstSeenAt time.Time
	wasRestored bool
	heldSince   time.Time
	validUntil  time.Time
	// heldUntil is when this instance last ceased to hold the lease, or will cease if it does not renew it.
	heldUntil   time.Time
	wasReleased bool
	// highestFence is the highest fencing number that is known, refusedFence is the highest fencing number that a receiver has refused, and fencedAt
	// when the number was last raised because of that.
	highestFence uint64
	refusedFence uint64
	fencedAt     time.Time
	// inDoubt are the nonces of the writes since the last confirmed one that may have taken effect.
	inDoubt []string
}

// Options configure a Keeper.
type Options struct {
	// Name is the name of the lease.
	Name string
	// Instance is the name of the instance. Each Keeper adds a unique suffix to it.
	Instance string
	// Validity is how long the lease lasts after each renewal.
	Validity time.Duration
	// TurnInterval is how long an instance that has ceased to hold the lease does not acquire it again once another one has held it.
	TurnInterval time.Duration
}

// NewKeeper returns a Keeper that does not hold the lease until Step has acquired it. No other process of the instance may run.
func NewKeeper(store lrplatform.Objects, options Options, clock func() time.Time) *Keeper {
	return &Keeper{
		store: store, name: options.Name, holder: options.Instance + "/" + uuid.NewString(), validity: options.Validity,
		turnInterval: options.TurnInterval, clock: clock, createdAt: clock(),
	}
}

// Held returns the state of the lease now, and reports whether this instance holds it.
func (k *Keeper) Held(now time.Time) (Status, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	left := k.validUntil.Sub(now)
	if left <= 0 {
		return Status{}, false
	}
	return Status{Fence: k.lease.Fence, Remaining: left, HeldFor: now.Sub(k.heldSince), Released: k.wasReleased}, true
}

// Step renews the lease when that is due, or tries to acquire it when this instance does not hold it. It must be called
// repeatedly.
func (k *Keeper) Step(ctx context.Context) error {
	now := k.clock()
	grant, held := k.Held(now)
	switch {
	case !held:
		return k.contend(ctx)
	case k.mustRaise(now):
		object, lease := k.renewal(now)
		return k.write(ctx, object, lease.WithFenceAbove(k.fenceFloor(object)), false)
	case grant.Remaining > k.validity-k.validity/renewDivisor:
		return nil
	default:
		object, lease := k.renewal(now)
		return k.write(ctx, object, lease, false)
	}
}

func (k *Keeper) contend(ctx context.Context) error {
	err := k.read(ctx)
	if err != nil {
		return err
	}
	now := k.clock()
	if !k.isFree(now) {
		return nil
	}
	if wait := k.turnWait(now); wait > 0 {
		return ErrTurn.New("%v left", wait)
	}
	object, lease := k.acquisition()
	return k.write(ctx, object, lease.WithFenceAbove(k.fenceFloor(object)), true)
}

// isFree reports whether no other instance can hold the lease: its holder has released it, or has not renewed it for the validity.
func (k *Keeper) isFree(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.lease.Holder == "" && !k.isOutdated() {
		return true
	}
	return now.After(k.expiry())
}

// ExpiredAt returns when the lease that was last read ended, or the zero time while it may still last. It ends if its holder does not renew it.
func (k *Keeper) ExpiredAt(now time.Time) time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.firstSeenAt.IsZero() || !now.After(k.expiry()) {
		return time.Time{}
	}
	return k.expiry()
}

// expiry returns when the lease that was last read ends if it is not renewed. It must be called with the mutex held.
func (k *Keeper) expiry() time.Time {
	if k.object.Version == 0 {
		return k.firstSeenAt.Add(k.validity)
	}
	return k.firstSeenAt.Add(k.lease.Validity())
}

// isOutdated reports whether a later lease than the stored one, which may still be valid, was lost when the store came back from an older
// copy. It must be called with the mutex held.
func (k *Keeper) isOutdated() bool {
	if k.object.Version == 0 {
		return k.wasRestored || k.highestFence > 0 || k.object.Era > lrplatform.FirstEra
	}
	return k.lease.Fence < max(k.highestFence, firstFence(k.object.Era))
}

// read reads the lease and records since when it is unchanged.
func (k *Keeper) read(ctx context.Context) error {
	object, lease, err := k.fetch(ctx)
	if err != nil {
		return err
	}
	k.observe(k.clock(), object, lease)
	return nil
}

// fetch returns the lease as it is stored. A missing lease has version zero.
func (k *Keeper) fetch(ctx context.Context) (lrplatform.Object, Lease, error) {
	var lease Lease
	object, err := k.store.Get(ctx, lrplatform.KindLease, k.name)
	if lrplatform.ErrNotFound.Has(err) {
		return lrplatform.Object{Kind: lrplatform.KindLease, Name: k.name, Era: object.Era}, lease, nil
	}
	if err != nil {
		return object, lease, fmt.Errorf("read lease %s: %w", k.name, err)
	}
	err = json.Unmarshal(object.Value, &lease)
	if err != nil {
		return object, lease, fmt.Errorf("decode lease %s: %w", k.name, err)
	}
	return object, lease, nil
}

// observe records what is stored, and since when it is unchanged. The version alone doesn't tell: a restored store gives versions out again.
func (k *Keeper) observe(now time.Time, object lrplatform.Object, lease Lease) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	isFirst, isOtherEra := k.firstSeenAt.IsZero(), object.Era != k.object.Era
	if isFirst || isOtherEra || object.Version != k.object.Version || lease.Nonce != k.lease.Nonce {
		k.firstSeenAt = now
	}
	k.wasRestored = k.wasRestored || !isFirst && isOtherEra
	k.object, k.lease = object, lease
	k.highestFence = max(k.highestFence, lease.Fence)
}

// write makes one conditional write. The validity of the lease counts from before the write, since the reply may be
// delayed.
func (k *Keeper) write(ctx context.Context, object lrplatform.Object, lease Lease, acquired bool) error {
	startedAt := k.clock()
	value, err := json.Marshal(lease)
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", k.name, err)
	}
	written, err := k.put(ctx, object, value)
	if err != nil {
		written, err = k.readBack(ctx, lease, err)
	}
	if err == nil && written.Era != object.Era {
		err = k.lose(written, lease)
	}
	if err != nil {
		return fmt.Errorf("write lease %s: %w", k.name, err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if acquired {
		k.heldSince, k.wasReleased = k.clock(), k.lease.Holder == "" && object.Version != 0 && !k.isOutdated()
	}
	if lease.Fence != k.lease.Fence && !acquired {
		k.fencedAt = startedAt
	}
	k.highestFence = max(k.highestFence, lease.Fence)
	k.object, k.lease, k.firstSeenAt, k.inDoubt = written, lease, startedAt, nil
	k.validUntil = startedAt.Add(k.validity)
	k.heldUntil = k.validUntil
	return nil
}

func (k *Keeper) put(ctx context.Context, object lrplatform.Object, value []byte) (lrplatform.Object, error) {
	if object.Version == 0 {
		return k.store.Create(ctx, lrplatform.KindLease, k.name, value)
	}
	return k.store.Update(ctx, object.WithValue(value))
}

// readBack reads the lease after a failed write. It returns the object if the write took effect, as it has when only the reply was lost. The
// lease is lost if the write was refused because something else is stored, or if the store came back from an older copy meanwhile.
func (k *Keeper) readBack(ctx context.Context, lease Lease, failure error) (lrplatform.Object, error) {
	object, stored, err := k.fetch(ctx)
	if err != nil {
		k.recordDoubt(lease.Nonce)
		return object, failure
	}
	if stored.Nonce == lease.Nonce {
		return object, nil
	}
	isRefused := lrplatform.ErrConflict.Has(failure) || lrplatform.ErrNotFound.Has(failure)
	if !k.recognize(object, stored) && isRefused || object.Era != k.era() {
		return object, k.lose(object, stored)
	}
	return object, failure
}

// recordDoubt records the nonce of a write that may have taken effect.
func (k *Keeper) recordDoubt(nonce string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.inDoubt = append(k.inDoubt, nonce)
}

// recognize reports whether the object is what this Keeper has seen last, or what it has written in doubt, from which it goes on then.
func (k *Keeper) recognize(object lrplatform.Object, stored Lease) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if object.Era != k.object.Era {
		return false
	}
	if slices.Contains(k.inDoubt, stored.Nonce) {
		k.object, k.lease, k.inDoubt = object, stored, nil
	}
	return stored.Nonce == k.lease.Nonce
}

// lose ends the validity of the lease at once, in favor of what is stored.
func (k *Keeper) lose(object lrplatform.Object, stored Lease) error {
	k.mutex.Lock()
	k.endTurn(k.clock())
	k.inDoubt = nil
	k.mutex.Unlock()
	k.observe(k.clock(), object, stored)
	return ErrLost.New("era %d, version %d, holder %q", object.Era, object.Version, stored.Holder)
}

func (k *Keeper) era() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.object.Era
}

// Release gives up the lease, so that another instance can acquire it at once. No work that the lease protects may be in
// progress.
func (k *Keeper) Release(ctx context.Context) error {
	_, held := k.Held(k.clock())
	if !held {
		return nil
	}
	object, lease := k.current()
	k.mutex.Lock()
	k.endTurn(k.clock())
	k.mutex.Unlock()
	value, err := json.Marshal(lease.WithoutHolder(uuid.NewString()))
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", k.name, err)
	}
	_, err = k.put(ctx, object, value)
	return err
}

func (k *Keeper) current() (lrplatform.Object, Lease) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.object, k.lease
}
