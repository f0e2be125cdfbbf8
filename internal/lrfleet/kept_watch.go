package lrfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
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
	// Epoch tells the starts of the store apart. It is zero while the store does not answer.
	Epoch int64
	// IsDown tells that the store did not answer. Engines that ask it wait in vain.
	IsDown bool
}

// A KeptSign is a kept store's sign of life.
type KeptSign struct {
	Epoch int64
	// Next is where to go on, so that the store need not tell again what has changed.
	Next uint64
}

// A KeptProber asks kept stores for a sign of life.
type KeptProber interface {
	ProbeKept(ctx context.Context, address string, from uint64) (KeptSign, error)
}

// KeptParts are what a KeptWatch works with.
type KeptParts struct {
	Prober KeptProber
	// Addresses returns the kept stores in use.
	Addresses func() []string
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
	// next is where the own looks at each store go on.
	next map[string]uint64
}

// keptFinding is the newest finding of any instance on one store.
type keptFinding struct {
	KeptNote
	at time.Time
	// epoch is the last one that was found, also while the store does not answer.
	epoch int64
}

// NewKeptWatch returns a KeptWatch that has found nothing yet.
func NewKeptWatch(parts KeptParts) *KeptWatch {
	return &KeptWatch{KeptParts: parts, found: map[string]keptFinding{}, next: map[string]uint64{}}
}

// Step looks at the kept stores in use, if that is for this instance to do.
func (k *KeptWatch) Step(ctx context.Context, _ time.Time) {
	if !k.IsWatcher() {
		return
	}
	var looks sync.WaitGroup
	for _, address := range k.Addresses() {
		looks.Add(1)
		k.Go("lookAtKeptStore", func() {
			defer looks.Done()
			k.look(ctx, address)
		})
	}
	looks.Wait()
}

// look looks at one kept store.
func (k *KeptWatch) look(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, keptProbeTimeout)
	defer cancel()
	sign, err := k.Prober.ProbeKept(ctx, address, k.from(address))
	if err == nil {
		k.goOn(address, sign.Next)
	}
	k.Heard(k.Clock(), KeptNote{Address: address, Epoch: sign.Epoch, IsDown: err != nil}, 0)
}

func (k *KeptWatch) from(address string) uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.next[address]
}

func (k *KeptWatch) goOn(address string, next uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.next[address] = next
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
	finding := keptFinding{KeptNote: note, at: at, epoch: before.epoch}
	if !note.IsDown {
		finding.epoch = note.Epoch
	}
	k.found[note.Address] = finding
	k.mutex.Unlock()
	if note.IsDown != before.IsDown {
		k.Log.Warn().Str("store", note.Address).Bool("down", note.IsDown).Msg("fleet: kept store")
	}
	if before.epoch != 0 && finding.epoch != before.epoch {
		k.Log.Info().Str("store", note.Address).Int64("epoch", finding.epoch).Msg("fleet: kept store has started anew")
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
