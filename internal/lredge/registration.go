package lredge

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrfleet"
	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrsupervise"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	// registerRetryDelay is the time between two attempts to register the instance at its start.
	registerRetryDelay = 500 * time.Millisecond
	// registrationCheckInterval is the time between two looks for the own registration in the list of instances.
	registrationCheckInterval = 250 * time.Millisecond
	// registrationSettleReads is the number of reads of the list after a write by which the registration is listed everywhere. The list is
	// passed on from one instance to the next.
	registrationSettleReads = 2
	// registrationSpread is the time over which instances whose registrations are lost at the same moment write them.
	registrationSpread = 2 * time.Second
	// maxRegistrationBackoff bounds the wait between two attempts.
	maxRegistrationBackoff = time.Minute
	// maxRegistrationWrites bounds the writes of one registration that the store confirms and never lists.
	maxRegistrationWrites = 5
)

// processName names a run of an instance by its process id and start time.
func processName(pid int, startedAt time.Time) string {
	return strconv.Itoa(pid) + "." + strconv.FormatInt(startedAt.UnixNano(), 36)
}

// processStart returns the start time in the name of a process, in nanoseconds since 1970, or false if the name has none.
func processStart(process string) (int64, bool) {
	_, text, _ := strings.Cut(process, ".")
	start, err := strconv.ParseInt(text, 36, 64)
	return start, err == nil
}

// A registration decides when an instance writes its entry in the list of instances again. A store that comes back from an older copy has
// lost the entry, or names the process that ran before.
type registration struct {
	self lrfleet.Instance
	// settleTime is how long after a write the list may lack the registration.
	settleTime time.Duration
	// replaced is the process whose registration this one has replaced.
	replaced string
	// writtenAt is when the store last confirmed the registration, and writes how often it has done so since the list last had it.
	writtenAt time.Time
	writes    int
	// attempts is the number of attempts since the list last had the registration. The next one is due at dueAt, which is zero while the
	// list has it.
	attempts int
	dueAt    time.Time
}

// withList returns the registration after a look at the list of instances, and whether it is to be written now. The random value is in
// [0, 1).
func (r registration) withList(now time.Time, listed map[string]lrfleet.Instance, random float64) (registration, bool) {
	entry, ok := listed[r.self.Name]
	if ok && !r.mayReplace(entry) {
		r.writes, r.attempts, r.dueAt = 0, 0, time.Time{}
		return r, false
	}
	if r.dueAt.IsZero() {
		settledAt := r.writtenAt.Add(r.settleTime)
		if settledAt.Before(now) {
			settledAt = now
		}
		r.dueAt = settledAt.Add(time.Duration(random * float64(registrationSpread)))
	}
	if now.Before(r.dueAt) || r.writes >= maxRegistrationWrites {
		return r, false
	}
	backoff := lrretry.Backoff{Base: registrationSpread, Max: maxRegistrationBackoff}
	r.dueAt = now.Add(r.settleTime + backoff.Delay(r.attempts, random))
	r.attempts++
	return r, true
}

// withWrite returns the registration after the store has confirmed it.
func (r registration) withWrite(now time.Time) registration {
	r.writtenAt = now
	r.writes++
	return r
}

// mayReplace reports whether the entry is that of an earlier process of this instance. A later process that runs under the same name keeps
// its entry.
func (r registration) mayReplace(entry lrfleet.Instance) bool {
	if entry.Process == r.self.Process {
		return false
	}
	if entry.Process == r.replaced {
		return true
	}
	start, ok := processStart(entry.Process)
	own, _ := processStart(r.self.Process)
	return ok && start < own
}

// register announces this instance to the others through the store, and does so again when the list of instances lacks it.
func (d *Daemon) register(ctx context.Context) error {
	r := registration{self: d.self(), settleTime: registrationSettleReads * d.settings.Platform.InstanceInterval}
	for !d.registerAtStart(ctx, &r) {
		if !lrsupervise.Sleep(ctx, registerRetryDelay) {
			return nil
		}
	}
	for lrsupervise.Sleep(ctx, registrationCheckInterval) {
		r = d.keepRegistered(ctx, d.clock(), r)
	}
	return nil
}

// registerAtStart writes the registration in place of any other one, and reports whether the store has confirmed it.
func (d *Daemon) registerAtStart(ctx context.Context, r *registration) bool {
	replaced, err := d.registerOnce(ctx, r.self, d.settings.Instance.FirstStart, func(lrfleet.Instance) bool { return true })
	if err != nil {
		d.log.Warn().Err(err).Msg("edge: not registered yet")
		return false
	}
	r.replaced, r.writtenAt = replaced, d.clock()
	return true
}

// keepRegistered writes the registration if the list of instances has lacked it for long enough.
func (d *Daemon) keepRegistered(ctx context.Context, now time.Time, r registration) registration {
	list := d.instances.Snapshot()
	if list.Revision == 0 || d.draining.Load() {
		return r
	}
	r, isDue := r.withList(now, list.Set, rand.Float64())
	if !isDue {
		return r
	}
	_, err := d.registerOnce(ctx, r.self, true, r.mayReplace)
	if err != nil {
		d.log.Warn().Err(err).Int("attempts", r.attempts).Msg("edge: not registered yet")
		return r
	}
	d.log.Warn().Str("listed", list.Set[r.self.Name].Process).Str("process", r.self.Process).Int("attempts", r.attempts).
		Msg("edge: registered again")
	return r.withWrite(now)
}

// registerOnce creates the registration, or replaces the stored one if mayReplace allows it. It returns the process that it has replaced.
// With createFirst, it takes it that none is stored.
func (d *Daemon) registerOnce(
	ctx context.Context, self lrfleet.Instance, createFirst bool, mayReplace func(stored lrfleet.Instance) bool,
) (string, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return "", fmt.Errorf("encode registration: %w", err)
	}
	store, kind := d.ports.Store, d.ports.InstancesKind
	if createFirst {
		_, err = store.Create(ctx, kind, self.Name, value)
		if !lrplatform.ErrConflict.Has(err) {
			return "", err
		}
	}
	object, err := store.Get(ctx, kind, self.Name)
	if lrplatform.ErrNotFound.Has(err) {
		_, err = store.Create(ctx, kind, self.Name, value)
		return "", err
	}
	if err != nil {
		return "", err
	}
	var stored lrfleet.Instance
	// A registration that cannot be decoded is that of no process, and is replaced.
	err = json.Unmarshal(object.Value, &stored)
	if err == nil && !mayReplace(stored) {
		return "", nil
	}
	_, err = store.Update(ctx, object.WithValue(value))
	return stored.Process, err
}
