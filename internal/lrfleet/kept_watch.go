package lrfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	// KeptProbePeriod is the time between two looks at a kept store.
	KeptProbePeriod = 300 * time.Millisecond
	// keptProbeTimeout is how long a kept store may take to answer a look.
	keptProbeTimeout = 250 * time.Millisecond
	// keptFor is how long what was found is told and believed. Without news a store counts as alive.
	keptFor = 3 * time.Second
)

// A KeptNote tells what an instance has found at a kept store.
type KeptNote struct {
	Address string
	// Epoch tells the starts of the store apart. While the store does not answer it is the last one that was found.
	Epoch int64
	// IsDown tells that the store did not answer. Engines that ask it wait in vain.
	IsDown bool
	// Residency is how long the store keeps a part that nobody uses, as far as what comes in tells. Zero means that it is not known.
	Residency time.Duration
}

// A KeptSign is a kept store's sign of life.
type KeptSign struct {
	Epoch int64
	// Next is where to go on, so that the store need not tell again what has changed.
	Next uint64
	// Added are the tokens that were added since the last look, unless there is a gap in what it tells.
	Added  int
	HasGap bool
}

// A KeptProber asks kept stores for a sign of life.
type KeptProber interface {
	ProbeKept(ctx context.Context, address string, from uint64) (KeptSign, error)
}

// KeptParts are what a KeptWatch works with.
type KeptParts struct {
	Prober KeptProber
	// Stores returns the kept stores in use.
	Stores func() []lrtable.KeptStore
	// IsWatcher reports whether this instance looks for those of its availability zone.
	IsWatcher func() bool
	// OnRestart is told of a store that has lost what it held.
	OnRestart func(address string)
	// Go runs work beside the duty.
	Go    func(name string, work func())
	Clock func() time.Time
	Log   zerolog.Logger
}

// A KeptWatch knows which kept stores answer. One instance of each availability zone looks, and tells the others. It is safe for use by
// several goroutines.
type KeptWatch struct {
	KeptParts
	mutex sync.Mutex
	found map[string]keptFinding
	// looks are the own looks at each store.
	looks map[string]keptLook
}

// keptFinding is the newest finding of any instance on one store.
type keptFinding struct {
	KeptNote
	at time.Time
}

// NewKeptWatch returns a KeptWatch that has found nothing yet.
func NewKeptWatch(parts KeptParts) *KeptWatch {
	return &KeptWatch{KeptParts: parts, found: map[string]keptFinding{}, looks: map[string]keptLook{}}
}

// Step looks at the kept stores in use, if that is for this instance to do.
func (k *KeptWatch) Step(ctx context.Context, _ time.Time) {
	if !k.IsWatcher() {
		return
	}
	var looks sync.WaitGroup
	for _, s := range k.Stores() {
		looks.Add(1)
		k.Go("lookAtKeptStore", func() {
			defer looks.Done()
			k.look(ctx, s)
		})
	}
	looks.Wait()
}

// look looks at one kept store.
func (k *KeptWatch) look(ctx context.Context, store lrtable.KeptStore) {
	ctx, cancel := context.WithTimeout(ctx, keptProbeTimeout)
	defer cancel()
	sign, err := k.Prober.ProbeKept(ctx, store.Address, k.lookAt(store.Address).next)
	now := k.Clock()
	note := KeptNote{Address: store.Address, Epoch: sign.Epoch, IsDown: err != nil}
	if err == nil {
		note.Residency = k.goOn(now, store, sign)
	}
	k.Heard(now, note, 0)
}

func (k *KeptWatch) lookAt(address string) keptLook {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.looks[address]
}

// goOn takes in a sign of life and returns the residency that it tells.
func (k *KeptWatch) goOn(now time.Time, store lrtable.KeptStore, sign KeptSign) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	capacity := int(sureShare * float64(store.Capacity))
	look := k.looks[store.Address].withSign(now, capacity, sign, k.found[store.Address].Residency)
	k.looks[store.Address] = look
	return look.residency(now, capacity)
}

// Heard takes in what an instance has found the given time ago. An older finding changes nothing.
func (k *KeptWatch) Heard(now time.Time, note KeptNote, age time.Duration) {
	at := now.Add(-age)
	k.mutex.Lock()
	before, known := k.found[note.Address]
	if known && !at.After(before.at) {
		k.mutex.Unlock()
		return
	}
	if note.IsDown {
		note.Epoch = before.Epoch
	}
	k.found[note.Address] = keptFinding{KeptNote: note, at: at}
	k.mutex.Unlock()
	if note.IsDown != before.IsDown {
		k.Log.Warn().Str("store", note.Address).Bool("down", note.IsDown).Msg("fleet: kept store")
	}
	if before.Epoch != 0 && note.Epoch != before.Epoch {
		k.Log.Info().Str("store", note.Address).Int64("epoch", note.Epoch).Msg("fleet: kept store has started anew")
		k.OnRestart(note.Address)
	}
}

// IsUsable reports whether engines may be sent to the kept store.
func (k *KeptWatch) IsUsable(now time.Time, address string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	f, ok := k.found[address]
	return !ok || !f.IsDown || now.Sub(f.at) > keptFor
}

// Residency returns how long ago the oldest part came into the kept store that nobody has used since and that is still there, or zero
// where that is not known.
func (k *KeptWatch) Residency(now time.Time, address string) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	f := k.found[address]
	if f.Residency == 0 {
		return 0
	}
	return f.Residency + now.Sub(f.at)
}

// News calls the function with what other instances shall hear, and how long ago it was found.
func (k *KeptWatch) News(now time.Time, tell func(note KeptNote, age time.Duration)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, f := range k.found {
		age := now.Sub(f.at)
		if age < keptFor {
			tell(f.KeptNote, age)
		}
	}
}
