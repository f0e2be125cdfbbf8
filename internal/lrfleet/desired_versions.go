package lrfleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPastDesired is the number of versions that are kept for each model beside the latest one.
	maxPastDesired = 8
	// maxDesiredAge is the age above which only the latest desired version of a model is sent to other instances: all versions before it have
	// been replaced for at least as long.
	maxDesiredAge = 20 * time.Second
)

// desiredVersion is a version of a model's weights with the time since when it has been desired.
type desiredVersion struct {
	version int64
	since   time.Time
	// isAssumed is set while nobody has told since when the version has been desired, so that since is a guess.
	isAssumed bool
}

// A DesiredAge is a version with the time for which it has been desired.
type DesiredAge struct {
	DesiredVersion
	Age time.Duration
}

// SetDesired records that a version of a model's weights is desired since the given time. Versions up to the latest one are ignored.
func (d *Directory) SetDesired(now time.Time, model string, version int64) {
	d.appendDesired(model, desiredVersion{version: version, since: now})
}

// AssumeDesired records that a version of a model's weights is desired since an unknown time, for which since is taken until another instance
// tells. Versions up to the latest one are ignored.
func (d *Directory) AssumeDesired(since time.Time, model string, version int64) {
	d.appendDesired(model, desiredVersion{version: version, since: since, isAssumed: true})
}

func (d *Directory) appendDesired(model string, desired desiredVersion) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	history := d.desired[model]
	if len(history) > 0 && history[len(history)-1].version >= desired.version {
		return
	}
	d.desired[model] = append(history[max(0, len(history)-maxPastDesired):], desired)
	d.log.Info().Str("model", model).Int64("version", desired.version).Bool("ageKnown", !desired.isAssumed).Msg("fleet: weights are wanted")
}

// DesiredAges returns for how long recorded versions have been desired, as far as that is known: those of up to maxDesiredAge and, of each model,
// the latest of the others.
func (d *Directory) DesiredAges(now time.Time) []DesiredAge {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ages []DesiredAge
	for model, history := range d.desired {
		for _, w := range slices.Backward(history) {
			if w.isAssumed {
				continue
			}
			age := now.Sub(w.since)
			ages = append(ages, DesiredAge{DesiredVersion: DesiredVersion{Model: model, Version: w.version}, Age: age})
			if age >= maxDesiredAge {
				break
			}
		}
	}
	return ages
}

// RecordDesiredAge merges how long another instance has known a version to be desired. An instance that has just started would otherwise
// count from its own start.
func (d *Directory) RecordDesiredAge(now time.Time, age DesiredAge) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	told := desiredVersion{version: age.Version, since: now.Add(-age.Age)}
	history := d.desired[age.Model]
	at, known := slices.BinarySearchFunc(history, age.Version, func(w desiredVersion, version int64) int {
		return cmp.Compare(w.version, version)
	})
	switch {
	case !known:
		d.desired[age.Model] = slices.Insert(history, at, told)
	case history[at].isAssumed || told.since.Before(history[at].since):
		history[at] = told
	}
}

// OutdatedFor returns for how long a version of the model's weights above the given one has been desired.
func (d *Directory) OutdatedFor(now time.Time, model string, version int64) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.outdatedFor(now, model, version)
}

// outdatedFor must be called with the mutex held.
func (d *Directory) outdatedFor(now time.Time, model string, version int64) time.Duration {
	for _, w := range d.desired[model] {
		if w.version > version {
			return now.Sub(w.since)
		}
	}
	return 0
}

// LongestOutdated returns for how long newer weights have been desired for the server that is furthest behind.
func (d *Directory) LongestOutdated(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range d.All() {
		for model, version := range s.Versions {
			longest = max(longest, d.OutdatedFor(now, model, version))
		}
	}
	return longest
}

// DesiredVersions returns the latest desired version of each model.
func (d *Directory) DesiredVersions() map[string]int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	versions := make(map[string]int64, len(d.desired))
	for model, history := range d.desired {
		versions[model] = history[len(history)-1].version
	}
	return versions
}
