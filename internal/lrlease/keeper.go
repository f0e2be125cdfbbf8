package lrlease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
)

// renewShare is the part of the validity after which a lease is renewed.
const renewShare = 3

// A Grant is a lease that is held now.
type Grant struct {
	// Fence is the fencing number.
	Fence uint64
	// Left is how long the lease surely lasts.
	Left time.Duration
	// HeldFor is how long ago this instance became the holder.
	HeldFor time.Duration
	// HandedBack tells that the holder before has given the lease back, and so has nothing under way.
	HandedBack bool
}

// A Keeper gets one lease, renews it and hands it back. It is safe for use by several goroutines.
type Keeper struct {
	store    lrplatform.Objects
	name     string
	holder   string
	validity time.Duration
	clock    func() time.Time

	mutex  sync.Mutex
	object lrplatform.Object
	lease  Lease
	// seenAt is when the object was first seen as it is.
	seenAt     time.Time
	heldSince  time.Time
	validUntil time.Time
	handedBack bool
}

// NewKeeper returns a Keeper of the lease of the name. It holds nothing until Step has been called.
func NewKeeper(store lrplatform.Objects, name, holder string, validity time.Duration, clock func() time.Time) *Keeper {
	return &Keeper{store: store, name: name, holder: holder + "/" + uuid.NewString(), validity: validity, clock: clock}
}

// Held returns the lease as it is held at the present time, and reports whether it is.
func (k *Keeper) Held(now time.Time) (Grant, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	left := k.validUntil.Sub(now)
	if left <= 0 {
		return Grant{}, false
	}
	return Grant{Fence: k.lease.Fence, Left: left, HeldFor: now.Sub(k.heldSince), HandedBack: k.handedBack}, true
}

// Step makes the next call to the platform: it renews the lease when that is due, or tries to get it when it has
// lapsed. It is called again and again.
func (k *Keeper) Step(ctx context.Context) error {
	grant, held := k.Held(k.clock())
	if held && grant.Left > k.validity-k.validity/renewShare {
		return nil
	}
	if held {
		return k.renew(ctx)
	}
	return k.contend(ctx)
}

func (k *Keeper) renew(ctx context.Context) error {
	object, lease := k.last()
	return k.write(ctx, object, lease.WithRenewal(uuid.NewString()), false)
}

func (k *Keeper) contend(ctx context.Context) error {
	err := k.read(ctx)
	if err != nil {
		return err
	}
	object, lease := k.last()
	now := k.clock()
	lapsed := now.Sub(k.seenSince()) > lease.Validity()
	if object.Version != 0 && lease.Holder != "" && !lapsed {
		return nil
	}
	return k.write(ctx, object, lease.WithHolder(k.holder, uuid.NewString(), k.validity), true)
}

// read takes in the object and notes since when it is unchanged.
func (k *Keeper) read(ctx context.Context) error {
	object, err := k.store.Get(ctx, lrplatform.KindLease, k.name)
	if lrplatform.ErrNotFound.Has(err) {
		object, err = lrplatform.Object{Kind: lrplatform.KindLease, Name: k.name}, nil
	}
	if err != nil {
		return fmt.Errorf("read lease %s: %w", k.name, err)
	}
	var lease Lease
	if object.Version != 0 {
		err = json.Unmarshal(object.Value, &lease)
		if err != nil {
			return fmt.Errorf("decode lease %s: %w", k.name, err)
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if object.Version != k.object.Version || k.seenAt.IsZero() {
		k.seenAt = k.clock()
	}
	k.object, k.lease = object, lease
	return nil
}

// write makes one conditional write. The lease lasts from before the write, whose reply may come late.
func (k *Keeper) write(ctx context.Context, object lrplatform.Object, lease Lease, taken bool) error {
	began := k.clock()
	value, err := json.Marshal(lease)
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", k.name, err)
	}
	written, err := k.put(ctx, object, value)
	if err != nil && !k.landed(ctx, lease) {
		return fmt.Errorf("write lease %s: %w", k.name, err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err == nil {
		k.object, k.seenAt = written, began
	}
	if taken {
		k.heldSince, k.handedBack = k.clock(), k.lease.Holder == "" && object.Version != 0
	}
	k.lease, k.validUntil = lease, began.Add(k.validity)
	return nil
}

func (k *Keeper) put(ctx context.Context, object lrplatform.Object, value []byte) (lrplatform.Object, error) {
	if object.Version == 0 {
		return k.store.Create(ctx, lrplatform.KindLease, k.name, value)
	}
	return k.store.Update(ctx, object.WithValue(value))
}

// landed reads the object back after a write without a reply, and reports whether the write has taken effect.
func (k *Keeper) landed(ctx context.Context, lease Lease) bool {
	object, err := k.store.Get(ctx, lrplatform.KindLease, k.name)
	if err != nil {
		return false
	}
	var stored Lease
	err = json.Unmarshal(object.Value, &stored)
	if err != nil || stored.Nonce != lease.Nonce {
		return false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.object, k.seenAt = object, k.clock()
	return true
}

// Release hands the lease back, so that another instance gets it at once. Nothing may be under way for it.
func (k *Keeper) Release(ctx context.Context) error {
	_, held := k.Held(k.clock())
	if !held {
		return nil
	}
	object, lease := k.last()
	k.mutex.Lock()
	k.validUntil = time.Time{}
	k.mutex.Unlock()
	value, err := json.Marshal(lease.WithoutHolder(uuid.NewString()))
	if err != nil {
		return fmt.Errorf("encode lease %s: %w", k.name, err)
	}
	_, err = k.put(ctx, object, value)
	return err
}

func (k *Keeper) last() (lrplatform.Object, Lease) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.object, k.lease
}

func (k *Keeper) seenSince() time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.seenAt
}
