package lrqueue

import (
	"hash/maphash"
	"time"
)

const (
	// maxReturning bounds the refused callers that are remembered, in each of two generations.
	maxReturning = 1024
	// usualWindow is the time constant of what is known of the time that callers allow.
	usualWindow = 10 * time.Second
	// returnedLess is how much less than usual a caller allows at least if it was refused before. It is below minReturn.
	returnedLess = minReturn / 2
	// maxReturnedPart is the part of callers with less time than usual up to which this is a sign of a return.
	maxReturnedPart = 0.6
)

// returningCallers recognizes callers that have been refused before: by their digest if this instance has refused them, otherwise by the time
// that they allow, which is shorter than that of first attempts. Where most callers allow less than the usual time, that says nothing.
type returningCallers struct {
	seed maphash.Seed
	// refused holds the digests of refused callers with the times until which they may return, former those of the generation before.
	refused map[uint64]time.Time
	former  map[uint64]time.Time
	routes  map[string]*usualTime
}

// usualTime is the longest time that callers of a route allow.
type usualTime struct {
	longest time.Duration
	at      time.Time
	all     decayed
	shorter decayed
}

func newReturningCallers() *returningCallers {
	return &returningCallers{seed: maphash.MakeSeed(), refused: map[uint64]time.Time{}, routes: map[string]*usualTime{}}
}

// isReturning reports whether the caller has probably been refused before.
func (c *returningCallers) isReturning(now time.Time, arrival Arrival) bool {
	usual := boundedGet(c.routes, arrival.Route, maxRoutes, func() *usualTime { return &usualTime{} })
	hasLessTime := usual.observe(now, arrival.Elapsed+arrival.TimeLeft)
	if arrival.Digest == "" {
		return hasLessTime
	}
	key := maphash.String(c.seed, arrival.Digest)
	until, ok := c.refused[key]
	if !ok {
		until = c.former[key]
	}
	delete(c.refused, key)
	delete(c.former, key)
	return now.Before(until) || hasLessTime
}

// add remembers a refused caller.
func (c *returningCallers) add(now time.Time, arrival Arrival) {
	if arrival.Digest == "" {
		return
	}
	if len(c.refused) >= maxReturning {
		c.refused, c.former = map[uint64]time.Time{}, c.refused
	}
	c.refused[maphash.String(c.seed, arrival.Digest)] = now.Add(arrival.TimeLeft)
}

// observe adds the time that a caller allows, and reports whether it is a sign of a return.
func (u *usualTime) observe(now time.Time, allowed time.Duration) bool {
	if allowed >= u.longest || now.Sub(u.at) > usualWindow {
		u.longest, u.at = allowed, now
	}
	isShorter := allowed < u.longest-returnedLess
	u.all.add(now, usualWindow, 1)
	if isShorter {
		u.shorter.add(now, usualWindow, 1)
	}
	return isShorter && u.shorter.value(now, usualWindow) <= maxReturnedPart*u.all.value(now, usualWindow)
}
