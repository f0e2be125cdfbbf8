// Package lrtls makes TLS configurations whose certificates are read again when their files change.
package lrtls

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// reloaded is a value made from files. It is made again when one of them has changed.
type reloaded[T any] struct {
	files []string
	load  func() (T, error)
	mutex sync.Mutex
	stamp []fileStamp
	value T
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newReloaded[T any](load func() (T, error), files ...string) (*reloaded[T], error) {
	r := &reloaded[T]{files: files, load: load}
	_, err := r.get()
	return r, err
}

// get returns the value of the present files. The last good value stays in use while they cannot be read.
func (r *reloaded[T]) get() (T, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stamp, err := r.stat()
	if err == nil && !r.changed(stamp) {
		return r.value, nil
	}
	value, loadErr := r.load()
	if err != nil || loadErr != nil {
		return r.lastGood(loadErr)
	}
	r.value, r.stamp = value, stamp
	return value, nil
}

func (r *reloaded[T]) lastGood(err error) (T, error) {
	if r.stamp == nil {
		return r.value, fmt.Errorf("read %v: %w", r.files, err)
	}
	return r.value, nil
}

func (r *reloaded[T]) stat() ([]fileStamp, error) {
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

func (r *reloaded[T]) changed(stamp []fileStamp) bool {
	if len(r.stamp) != len(stamp) {
		return true
	}
	for n := range stamp {
		if !stamp[n].modified.Equal(r.stamp[n].modified) || stamp[n].size != r.stamp[n].size {
			return true
		}
	}
	return false
}
