package lrplatform

import (
	"context"
	"sync"
)

// A StoreCall is one call to a Faulty, counted from one.
type StoreCall struct {
	Number int
	// Method is the name of the method of Platform, such as "Get".
	Method string
	Kind   string
	Name   string
}

// A StoreFault is what happens to one call. The zero value lets it through.
type StoreFault struct {
	// Before runs before the call takes effect.
	Before func()
	// Wait holds the call back until the channel is closed.
	Wait <-chan struct{}
	// Unavailable refuses the call without an effect.
	Unavailable bool
	// LoseWrite gives a write no effect and no reply.
	LoseWrite bool
	// LoseReply gives a write its effect, but no reply.
	LoseReply bool
	// Stale answers a Get with the object as it was before its last change that this Faulty has read.
	Stale bool
}

// A FaultPlan says what happens to each call. It must be safe for use by several goroutines.
type FaultPlan func(StoreCall) StoreFault

// A Faulty is a Platform whose calls fail as a FaultPlan says. It serves tests of failures.
type Faulty struct {
	platform Platform
	plan     FaultPlan
	mutex    sync.Mutex
	calls    int
	read     map[objectKey][]Object
}

// NewFaulty returns a Faulty before the platform.
func NewFaulty(platform Platform, plan FaultPlan) *Faulty {
	return &Faulty{platform: platform, plan: plan, read: map[objectKey][]Object{}}
}

// Calls returns the number of calls up to now.
func (f *Faulty) Calls() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

// Get reads the object unless the plan says otherwise.
func (f *Faulty) Get(ctx context.Context, kind, name string) (Object, error) {
	fault, err := f.begin(ctx, "Get", kind, name)
	if err != nil {
		return Object{}, err
	}
	object, err := f.platform.Get(ctx, kind, name)
	if err != nil {
		return object, err
	}
	return f.remember(object, fault.Stale), nil
}

// List reads the objects unless the plan says otherwise.
func (f *Faulty) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	_, err := f.begin(ctx, "List", kind, prefix)
	if err != nil {
		return nil, err
	}
	return f.platform.List(ctx, kind, prefix)
}

// Create writes the object unless the plan says otherwise.
func (f *Faulty) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return f.write(ctx, "Create", kind, name, func() (Object, error) { return f.platform.Create(ctx, kind, name, value) })
}

// Update writes the object unless the plan says otherwise.
func (f *Faulty) Update(ctx context.Context, object Object) (Object, error) {
	return f.write(ctx, "Update", object.Kind, object.Name, func() (Object, error) { return f.platform.Update(ctx, object) })
}

// Delete removes the object unless the plan says otherwise.
func (f *Faulty) Delete(ctx context.Context, object Object) error {
	_, err := f.write(ctx, "Delete", object.Kind, object.Name, func() (Object, error) {
		return Object{}, f.platform.Delete(ctx, object)
	})
	return err
}

// Watch waits for changes unless the plan says otherwise.
func (f *Faulty) Watch(ctx context.Context, kind string, after uint64) (Changes, error) {
	_, err := f.begin(ctx, "Watch", kind, "")
	if err != nil {
		return Changes{Revision: after}, err
	}
	return f.platform.Watch(ctx, kind, after)
}

// Instances reads the list of instances unless the plan says otherwise.
func (f *Faulty) Instances(ctx context.Context) ([]Instance, error) {
	_, err := f.begin(ctx, "Instances", "", "")
	if err != nil {
		return nil, err
	}
	return f.platform.Instances(ctx)
}

func (f *Faulty) begin(ctx context.Context, method, kind, name string) (StoreFault, error) {
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

func (f *Faulty) write(ctx context.Context, method, kind, name string, write func() (Object, error)) (Object, error) {
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

func (f *Faulty) remember(object Object, stale bool) Object {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	key := objectKey{object.Kind, object.Name}
	read := f.read[key]
	if len(read) == 0 || read[len(read)-1].Version != object.Version {
		read = append(read, cloneObject(object))
		f.read[key] = read[max(0, len(read)-2):]
	}
	if stale {
		return cloneObject(f.read[key][0])
	}
	return object
}
