package lrplatform

import (
	"context"
	"sync"
)

// A StoreCall is one call to a platform with injected faults.
type StoreCall struct {
	// Number counts the calls from 1.
	Number int
	// Method is the name of the method of Platform, such as "Get".
	Method string
	Kind   string
	Name   string
}

// A StoreFault is the fault injected into one call. The zero value injects none.
type StoreFault struct {
	// Before runs before the call takes effect.
	Before func()
	// Wait blocks the call until the channel is closed.
	Wait <-chan struct{}
	// Unavailable rejects the call before it takes effect.
	Unavailable bool
	// LoseWrite drops a write, and the caller gets ErrUnknown.
	LoseWrite bool
	// LoseReply applies a write, but the caller gets ErrUnknown.
	LoseReply bool
	// Stale makes Get return the previous of the last two versions of the object that were read through this wrapper.
	Stale bool
}

// A FaultPlan returns the fault to inject into a call. It must be safe for concurrent use.
type FaultPlan func(StoreCall) StoreFault

// A FaultyPlatform is a Platform that injects the faults of a FaultPlan, for tests.
type FaultyPlatform struct {
	platform    Platform
	plan        FaultPlan
	mutex       sync.Mutex
	calls       int
	recentReads map[objectKey][]Object
}

// NewFaultyPlatform wraps the platform with the faults of the plan.
func NewFaultyPlatform(platform Platform, plan FaultPlan) *FaultyPlatform {
	return &FaultyPlatform{platform: platform, plan: plan, recentReads: map[objectKey][]Object{}}
}

// Calls returns the number of calls so far.
func (f *FaultyPlatform) Calls() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

// Get reads the object, subject to the injected fault.
func (f *FaultyPlatform) Get(ctx context.Context, kind, name string) (Object, error) {
	fault, err := f.begin(ctx, "Get", kind, name)
	if err != nil {
		return Object{}, err
	}
	object, err := f.platform.Get(ctx, kind, name)
	if err != nil {
		return object, err
	}
	return f.recordRead(object, fault.Stale), nil
}

// List reads the objects, subject to the injected fault.
func (f *FaultyPlatform) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	_, err := f.begin(ctx, "List", kind, prefix)
	if err != nil {
		return nil, err
	}
	return f.platform.List(ctx, kind, prefix)
}

// Create writes the object, subject to the injected fault.
func (f *FaultyPlatform) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return f.write(ctx, "Create", kind, name, func() (Object, error) { return f.platform.Create(ctx, kind, name, value) })
}

// Update writes the object, subject to the injected fault.
func (f *FaultyPlatform) Update(ctx context.Context, object Object) (Object, error) {
	return f.write(ctx, "Update", object.Kind, object.Name, func() (Object, error) { return f.platform.Update(ctx, object) })
}

// Delete removes the object, subject to the injected fault.
func (f *FaultyPlatform) Delete(ctx context.Context, object Object) error {
	_, err := f.write(ctx, "Delete", object.Kind, object.Name, func() (Object, error) {
		return Object{}, f.platform.Delete(ctx, object)
	})
	return err
}

// Watch waits for changes, subject to the injected fault.
func (f *FaultyPlatform) Watch(ctx context.Context, kind string, after uint64) (Changes, error) {
	_, err := f.begin(ctx, "Watch", kind, "")
	if err != nil {
		return Changes{Revision: after}, err
	}
	return f.platform.Watch(ctx, kind, after)
}

// Instances reads the list of instances, subject to the injected fault.
func (f *FaultyPlatform) Instances(ctx context.Context) ([]Instance, error) {
	_, err := f.begin(ctx, "Instances", "", "")
	if err != nil {
		return nil, err
	}
	return f.platform.Instances(ctx)
}

func (f *FaultyPlatform) begin(ctx context.Context, method, kind, name string) (StoreFault, error) {
	f.mutex.Lock()
	f.calls++
	call := StoreCall{Number: f.calls, Method: method, Kind: kind, Name: name}
	f.mutex.Unlock()
	fault := f.plan(call)
	if fault.Before != nil {
		fault.Before()
	}
	if fault.Wait != nil {
		select {
		case <-fault.Wait:
		case <-ctx.Done():
			return fault, ErrUnavailable.Wrap(ctx.Err())
		}
	}
	if fault.Unavailable {
		return fault, ErrUnavailable.New("the platform is down")
	}
	return fault, nil
}

func (f *FaultyPlatform) write(ctx context.Context, method, kind, name string, write func() (Object, error)) (Object, error) {
	fault, err := f.begin(ctx, method, kind, name)
	switch {
	case err != nil:
		return Object{}, err
	case fault.LoseWrite:
		return Object{}, ErrUnknown.New("the call was lost")
	}
	object, err := write()
	if fault.LoseReply {
		return Object{}, ErrUnknown.New("the reply was lost")
	}
	return object, err
}

func (f *FaultyPlatform) recordRead(object Object, stale bool) Object {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	key := objectKey{object.Kind, object.Name}
	recentReads := f.recentReads[key]
	if len(recentReads) == 0 || recentReads[len(recentReads)-1].Version != object.Version {
		recentReads = append(recentReads, cloneObject(object))
		f.recentReads[key] = recentReads[max(0, len(recentReads)-2):]
	}
	if stale {
		return cloneObject(f.recentReads[key][0])
	}
	return object
}
