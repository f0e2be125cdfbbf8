// Package lrrelease carries out the roll-outs of services' versions that package lrcanary decides. Every instance judges the new release by
// the answers of all. One instance at a time, the holder of a lease, moves the traffic on and stores the decision in the status of the
// operator's entry.
package lrrelease

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrlease"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrcanary"
)

const (
	// writeTimeout bounds the read and the write that store one status. The lease must last longer than that.
	writeTimeout = 1200 * time.Millisecond
	// writeInterval is the time between two attempts to store a status.
	writeInterval = 100 * time.Millisecond
	// decidedInterval is the time between two looks at the servers while all orders are decided.
	decidedInterval = 500 * time.Millisecond
	// reportInterval is the time between two log lines on a roll-out that goes on.
	reportInterval = 2 * time.Second
)

// Statuses reads the operator's entries and stores their statuses.
type Statuses interface {
	// Read returns the entry as it is stored now.
	Read(ctx context.Context, name string) (lrcanary.Entry, error)
	// WriteState stores the state if the entry still has its revision in the era in which it was read, and fails with lrplatform.ErrConflict
	// otherwise. It returns the revision after the write.
	WriteState(ctx context.Context, entry lrcanary.Entry, state lrcanary.State) (uint64, error)
}

// Dependencies are what an instance needs to take part in roll-outs.
type Dependencies struct {
	Board     *lrcanary.Board
	Directory *lrfleet.Directory
	Statuses  Statuses
	Keeper    *lrlease.Keeper
	// LeaseClock is the clock of the lease. It also advances while the machine is suspended.
	LeaseClock func() time.Time
	// Instances returns the number of listed instances, this one included.
	Instances func() int
	// Stored is called after each attempt to store a state.
	Stored func(state lrcanary.State, err error)
	// Go runs work in a goroutine.
	Go  func(name string, work func())
	Log zerolog.Logger
}

// A Duty takes part in roll-outs. Its Step is called by one goroutine.
type Duty struct {
	Dependencies
	reportedAt time.Time
	// readAt is when the servers were last read.
	readAt time.Time
	mutex  sync.Mutex
	// writing holds the entries whose status is being stored, and triedAt the time of the last attempt.
	writing map[string]bool
	triedAt map[string]time.Time
}

// NewDuty returns a Duty.
func NewDuty(parts Dependencies) *Duty {
	return &Duty{Dependencies: parts, writing: map[string]bool{}, triedAt: map[string]time.Time{}}
}

// SetEntries applies the operator's entries.
func (d *Duty) SetEntries(now time.Time, entries map[string]lrcanary.Entry) {
	d.Board.SetServers(d.servers())
	d.Board.SetEntries(now, entries)
}

// Restored tells that the platform's store has come back from an older copy. It must be called before the first entries from after that. The
// holder then stores again what the copy lacks.
func (d *Duty) Restored(now time.Time) { d.Board.Restored(now) }

// servers returns the usable servers of each service with their releases.
func (d *Duty) servers() map[string][]lrcanary.Server {
	servers := map[string][]lrcanary.Server{}
	for _, s := range d.Directory.All() {
		servers[s.Service] = append(servers[s.Service], lrcanary.Server{ID: s.ID, Release: s.Release})
	}
	return servers
}

// Step judges the new releases and, on the holder, moves the roll-outs on.
func (d *Duty) Step(ctx context.Context, now time.Time) {
	isOpen := len(d.Board.Orders()) > 0
	if !d.Board.HasEntries() || !isOpen && now.Sub(d.readAt) < decidedInterval {
		return
	}
	d.readAt = now
	d.Board.SetServers(d.servers())
	d.Board.Judge(now)
	grant, held := d.Keeper.Held(d.LeaseClock())
	if !held {
		return
	}
	d.report(now)
	for _, w := range d.Board.Drive(now, lrcanary.Holder{Fence: grant.Fence, Instances: d.Instances()}) {
		d.store(ctx, now, w, grant.Fence)
	}
}

// report logs how the roll-outs go.
func (d *Duty) report(now time.Time) {
	if now.Sub(d.reportedAt) < reportInterval {
		return
	}
	d.reportedAt = now
	for _, s := range d.Board.Statuses(now) {
		if s.IsDecided {
			continue
		}
		if !s.HasNew {
			d.Log.Warn().Str("service", s.Service).Str("to", s.To).Msg("release: no server has the version")
			continue
		}
		d.Log.Info().Str("service", s.Service).Str("to", s.To).Str("stage", s.Stage.String()).Float64("share", s.Share).Dur("age", s.Age).
			Int64("newAnswers", s.New.Answers).Int64("newFailed", s.New.Failed).Int64("newSlow", s.New.Slow).
			Int64("oldAnswers", s.Old.Answers).Int64("oldFailed", s.Old.Failed).Int64("oldSlow", s.Old.Slow).
			Int("acknowledged", s.Sum.Acknowledged).Int("runningOld", s.Sum.RunningOld).Msg("release: under way")
	}
}

// store stores one status in the background, unless that is under way or was tried just before.
func (d *Duty) store(ctx context.Context, now time.Time, w lrcanary.Write, fence uint64) {
	name := w.Entry.Name
	if !d.beginStore(now, name) {
		return
	}
	d.Go("storeRelease", func() {
		defer d.endStore(name)
		revision, err := d.write(ctx, w, fence)
		d.Stored(w.State, err)
		if err != nil {
			d.Log.Warn().Err(err).Str("service", name).Str("to", w.Entry.To).Str("state", string(w.State)).Msg("release: state not stored yet")
			return
		}
		d.Log.Info().Str("service", name).Str("to", w.Entry.To).Str("state", string(w.State)).Uint64("fence", fence).
			Uint64("revision", revision).Msg("release: state stored")
		d.Board.Stored(now, w, fence, revision)
	})
}

// beginStore reports whether a status of the entry may be stored now.
func (d *Duty) beginStore(now time.Time, name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.writing[name] || now.Sub(d.triedAt[name]) < writeInterval {
		return false
	}
	d.writing[name], d.triedAt[name] = true, now
	return true
}

func (d *Duty) endStore(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.writing, name)
}

// write reads the entry and stores the state, if the entry still holds the order and no decision, and if this instance still holds the lease
// under the fencing number. What another instance has stored since the read makes the write fail.
func (d *Duty) write(ctx context.Context, w lrcanary.Write, fence uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := d.Statuses.Read(ctx, w.Entry.Name)
	if err != nil {
		return 0, err
	}
	if entry.Order() != w.Entry.Order() {
		return 0, ErrSuperseded.New("the entry asks for %q now", entry.To)
	}
	if entry.Decision() == w.State && w.State.IsFinal() {
		return entry.Revision, nil
	}
	if entry.Decision().IsFinal() {
		return 0, ErrSuperseded.New("the entry is decided as %q", string(entry.Decision()))
	}
	if !d.Board.IsDue(w) {
		return 0, ErrSuperseded.New("the state %q is not due any more", string(w.State))
	}
	grant, held := d.Keeper.Held(d.LeaseClock())
	if !held || grant.Fence != fence {
		return 0, ErrLeaseLost.New("the lease is not held under number %d any more", fence)
	}
	ctx, stop := context.WithTimeout(ctx, grant.Remaining)
	defer stop()
	return d.Statuses.WriteState(ctx, entry, w.State)
}
