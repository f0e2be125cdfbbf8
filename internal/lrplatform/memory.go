package lrplatform

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
)

// historyLimit is the number of changes that a watch can lag behind before it returns all objects of the kind.
const historyLimit = 10000

// A Memory is a Platform in the memory of the process. It backs the stub platform server and serves as a fake in tests.
type Memory struct {
	mutex sync.Mutex
	// era is that of the objects it returns, or zero while it names none.
	era       uint64
	revision  uint64
	objects   map[objectKey]Object
	history   []historyEntry
	instances []Instance
	changed   chan struct{}
}

type objectKey struct{ kind, name string }

type historyEntry struct {
	revision uint64
	key      objectKey
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

// NameEras makes the Memory name its era from now on, which begins at one and rises with each Restore.
func (m *Memory) NameEras() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.era = FirstEra
}

// Era returns the era, or zero if the Memory names none.
func (m *Memory) Era() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.era
}

// A MemoryCopy is the content of a Memory at one moment.
type MemoryCopy struct {
	revision uint64
	objects  map[objectKey]Object
	history  []historyEntry
}

// Copy returns the content, for Restore.
func (m *Memory) Copy() MemoryCopy {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return MemoryCopy{revision: m.revision, objects: maps.Clone(m.objects), history: slices.Clone(m.history)}
}

// Restore goes back to the copy, as a platform does that has lost what was written since. Its revisions are given out again.
func (m *Memory) Restore(content MemoryCopy) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.era > 0 {
		m.era++
	}
	m.revision, m.objects, m.history = content.revision, maps.Clone(content.objects), slices.Clone(content.history)
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetInstances replaces the list of instances.
func (m *Memory) SetInstances(instances []Instance) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.instances = slices.Clone(instances)
}

// Instances returns the list of instances.
func (m *Memory) Instances(context.Context) ([]Instance, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.instances), nil
}

// Get returns the object, or an ErrNotFound with an object that has nothing but the era.
func (m *Memory) Get(_ context.Context, kind, name string) (Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	object, ok := m.objects[objectKey{kind, name}]
	if !ok {
		return Object{Era: m.era}, ErrNotFound.New("%s/%s", kind, name)
	}
	object.Era = m.era
	return cloneObject(object), nil
}

// List returns the objects of the kind whose names start with the prefix, ordered by name.
func (m *Memory) List(_ context.Context, kind, prefix string) ([]Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.list(kind, prefix), nil
}

// Create writes a new object.
func (m *Memory) Create(_ context.Context, kind, name string, value []byte) (Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := objectKey{kind, name}
	_, exists := m.objects[key]
	if exists {
		return Object{}, ErrConflict.New("%s/%s exists", kind, name)
	}
	return m.put(key, value)
}

// Update writes the object if its version is still the stored one.
func (m *Memory) Update(_ context.Context, object Object) (Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := objectKey{object.Kind, object.Name}
	err := m.checkVersion(key, object.Version)
	if err != nil {
		return Object{}, err
	}
	return m.put(key, object.Value)
}

// Delete removes the object if its version is still the stored one.
func (m *Memory) Delete(_ context.Context, object Object) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := objectKey{object.Kind, object.Name}
	err := m.checkVersion(key, object.Version)
	if err != nil {
		return err
	}
	delete(m.objects, key)
	m.record(key)
	return nil
}

// Watch waits until objects of the kind have changed after the revision. From one that the Memory does not have or no longer has, it returns
// all objects of the kind at once.
func (m *Memory) Watch(ctx context.Context, kind string, after uint64) (Changes, error) {
	for {
		changes, wait := m.changesAfter(kind, after)
		if len(changes.Objects) > 0 || (after == 0 && changes.Revision > 0) || after > changes.Revision {
			return changes, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Changes{Revision: after}, ctx.Err()
		}
	}
}

func (m *Memory) checkVersion(key objectKey, version uint64) error {
	stored, ok := m.objects[key]
	if !ok {
		return ErrNotFound.New("%s/%s", key.kind, key.name)
	}
	if stored.Version != version {
		return ErrConflict.New("%s/%s is at version %d, not %d", key.kind, key.name, stored.Version, version)
	}
	return nil
}

func (m *Memory) put(key objectKey, value []byte) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrInvalid.New("value of %d bytes is above %d; split it", len(value), MaxValueBytes)
	}
	m.record(key)
	object := Object{Kind: key.kind, Name: key.name, Version: m.revision, Value: slices.Clone(value)}
	m.objects[key] = object
	object.Era = m.era
	return cloneObject(object), nil
}

func (m *Memory) record(key objectKey) {
	m.revision++
	m.history = append(m.history, historyEntry{revision: m.revision, key: key})
	if len(m.history) > 2*historyLimit {
		m.history = slices.Clone(m.history[historyLimit:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) changesAfter(kind string, after uint64) (Changes, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	changes := Changes{Revision: m.revision}
	if after == 0 || after > m.revision || (len(m.history) > 0 && m.history[0].revision > after+1) {
		changes.Objects = m.list(kind, "")
		return changes, m.changed
	}
	seen := map[objectKey]bool{}
	for _, h := range slices.Backward(m.history) {
		if h.revision <= after {
			break
		}
		if h.key.kind != kind || seen[h.key] {
			continue
		}
		seen[h.key] = true
		object, ok := m.objects[h.key]
		if !ok {
			object = Object{Kind: h.key.kind, Name: h.key.name}
		}
		changes.Objects = append(changes.Objects, cloneObject(object))
	}
	return changes, m.changed
}

func (m *Memory) list(kind, prefix string) []Object {
	var objects []Object
	for k, o := range m.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			objects = append(objects, cloneObject(o))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects
}

func cloneObject(o Object) Object {
	o.Value = slices.Clone(o.Value)
	return o
}
