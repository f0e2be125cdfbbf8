// Package lrtls builds TLS configurations that reload certificates when their files change, without a restart.
package lrtls

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadable is a value loaded from files. It is loaded again when the modification time or size of one of them changes.
type reloadable[T any] struct {
	files  []string
	load   func() (T, error)
	mutex  sync.Mutex
	stamps []fileStamp
	value  T
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newReloadable[T any](load func() (T, error), files ...string) (*reloadable[T], error) {
	r := &reloadable[T]{files: files, load: load}
	_, err := r.get()
	return r, err
}

// get returns the value of the current files, or the last good value while they cannot be read or parsed.
func (r *reloadable[T]) get() (T, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stamps, err := r.stat()
	if err == nil && !r.changed(stamps) {
		return r.value, nil
	}
	value, loadErr := r.load()
	if err != nil || loadErr != nil {
		return r.lastValue(loadErr)
	}
	r.value, r.stamps = value, stamps
	return value, nil
}

func (r *reloadable[T]) lastValue(err error) (T, error) {
	if r.stamps == nil {
		return r.value, fmt.Errorf("read %v: %w", r.files, err)
	}
	return r.value, nil
}

func (r *reloadable[T]) stat() ([]fileStamp, error) {
	stamps := make([]fileStamp, 0, len(r.files))
	for _, f := range r.files {
		info, err := os.Stat(f)
		if err != nil {
			return nil, err
		}
		stamps = append(stamps, fileStamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}

func (r *reloadable[T]) changed(stamps []fileStamp) bool {
	if len(r.stamps) != len(stamps) {
		return true
	}
	for n := range stamps {
		if !stamps[n].modified.Equal(r.stamps[n].modified) || stamps[n].size != r.stamps[n].size {
			return true
		}
	}
	return false
}
