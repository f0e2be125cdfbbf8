package lrfleet

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

const (
	// KVProbePeriod is the time between two probes of a KV store.
	KVProbePeriod = 300 * time.Millisecond
	// kvProbeTimeout bounds one probe of a KV store.
	kvProbeTimeout = 250 * time.Millisecond
	// statusValidFor is how long a status is sent and used. A store without a valid status counts as reachable.
	statusValidFor = 3 * time.Second
)

// A KVStoreStatus is an update on a KV store, from the probe of one instance.
type KVStoreStatus struct {
	Address string
	// Epoch differs between two starts of the store. While the store does not answer it is the last known one.
	Epoch int64
	// IsDown is set when the store did not answer the probe. Engines that request from such a store wait without an answer.
	IsDown bool
	// Residency is how long the store keeps a block that is not used, estimated from what is added to it. Zero means unknown.
	Residency time.Duration
}

// A KVProbeResult is the answer of a KV store to a probe.
type KVProbeResult struct {
	Epoch int64
	// Next is the position from which the next probe reads, so that the store does not repeat changes.
	Next uint64
	// AddedTokens is the number of tokens that were added since the last probe. With HasGap some changes may be missing from it.
	AddedTokens int
	HasGap      bool
}

// A KVProber probes KV stores.
type KVProber interface {
	ProbeKVStore(ctx context.Context, address string, from uint64) (KVProbeResult, error)
}

// KVStoreWatchDependencies are the collaborators of a watch on KV stores.
type KVStoreWatchDependencies struct {
	Prober KVProber
	// Stores returns the KV stores in use.
	Stores func() []lrtable.KVStore
	// IsWatcher reports whether this instance probes the stores for its availability zone.
	IsWatcher func() bool
	// OnRestart is called with the address of a store that has restarted and lost its contents.
	OnRestart func(address string)
	// Go runs work in its own goroutine, beside the supervised loops.
	Go    func(name string, work func())
	Clock func() time.Time
	Log   zerolog.Logger
}

// A KVStoreWatch tracks which KV stores are reachable. One instance of each availability zone probes them and sends the status to the
// others. It is safe for use by several goroutines.
type KVStoreWatch struct {
	KVStoreWatchDependencies
	mutex    sync.Mutex
	statuses map[string]datedStatus
	// estimates holds the residency of each store as estimated from the probes of this instance.
	estimates map[string]residencyEstimate
}

// datedStatus is the newest status of one store from any instance.
type datedStatus struct {
	KVStoreStatus
	at time.Time
}

// NewKVStoreWatch returns a watch without any status.
func NewKVStoreWatch(dependencies KVStoreWatchDependencies) *KVStoreWatch {
	return &KVStoreWatch{KVStoreWatchDependencies: dependencies, statuses: map[string]datedStatus{}, estimates: map[string]residencyEstimate{}}
}

// Step probes the KV stores in use if this instance is the watcher, and waits for the results.
func (k *KVStoreWatch) Step(ctx context.Context, _ time.Time) {
	if !k.IsWatcher() {
		return
	}
	var probes sync.WaitGroup
	for _, s := range k.Stores() {
		probes.Add(1)
		k.Go("lookAtKeptStore", func() {
			defer probes.Done()
			k.probe(ctx, s)
		})
	}
	probes.Wait()
}

// probe probes one KV store.
func (k *KVStoreWatch) probe(ctx context.Context, store lrtable.KVStore) {
	ctx, cancel := context.WithTimeout(ctx, kvProbeTimeout)
	defer cancel()
	probed, err := k.Prober.ProbeKVStore(ctx, store.Address, k.estimateOf(store.Address).next)
	now := k.Clock()
	status := KVStoreStatus{Address: store.Address, Epoch: probed.Epoch, IsDown: err != nil}
	if err == nil {
		status.Residency = k.updateEstimate(now, store, probed)
	}
	k.Merge(now, status, 0)
}

func (k *KVStoreWatch) estimateOf(address string) residencyEstimate {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.estimates[address]
}

// updateEstimate applies the answer to a probe and returns the estimated residency.
func (k *KVStoreWatch) updateEstimate(now time.Time, store lrtable.KVStore, probed KVProbeResult) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	capacity := int(usableShare * float64(store.Capacity))
	estimate := k.estimates[store.Address].withProbe(now, capacity, probed, k.statuses[store.Address].Residency)
	k.estimates[store.Address] = estimate
	return estimate.residency(now, capacity)
}

// Merge applies a status that an instance has found the given time ago. A status that is not newer than the known one is ignored.
func (k *KVStoreWatch) Merge(now time.Time, status KVStoreStatus, age time.Duration) {
	at := now.Add(-age)
	k.mutex.Lock()
	before, known := k.statuses[status.Address]
	if known && !at.After(before.at) {
		k.mutex.Unlock()
		return
	}
	if status.IsDown {
		status.Epoch = before.Epoch
	}
	k.statuses[status.Address] = datedStatus{KVStoreStatus: status, at: at}
	k.mutex.Unlock()
	if status.IsDown != before.IsDown {
		k.Log.Warn().Str("store", status.Address).Bool("down", status.IsDown).Msg("fleet: kept store")
	}
	if before.Epoch != 0 && status.Epoch != before.Epoch {
		k.Log.Info().Str("store", status.Address).Int64("epoch", status.Epoch).Msg("fleet: kept store has started anew")
		k.OnRestart(status.Address)
	}
}

// IsUsable reports whether engines may be directed to the KV store.
func (k *KVStoreWatch) IsUsable(now time.Time, address string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	f, ok := k.statuses[address]
	return !ok || !f.IsDown || now.Sub(f.at) > statusValidFor
}

// Residency returns the age of the oldest unused block that the KV store still holds, or zero where that is unknown.
func (k *KVStoreWatch) Residency(now time.Time, address string) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	f := k.statuses[address]
	if f.Residency == 0 {
		return 0
	}
	return f.Residency + now.Sub(f.at)
}

// Updates calls the function with each status to send to other instances and its age.
func (k *KVStoreWatch) Updates(now time.Time, send func(status KVStoreStatus, age time.Duration)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, f := range k.statuses {
		age := now.Sub(f.at)
		if age < statusValidFor {
			send(f.KVStoreStatus, age)
		}
	}
}
