package lrfleet

import (
	"fmt"
	"testing"
	"time"
)

// TestFlappingLinksLetLittleThrough partitions the availability zones repeatedly, for about as long as an instance may send nothing
// before it counts as unreachable, while an account floods all of them. In no window of eight seconds are more tokens admitted than the
// platform's rule allows: a tenth above rate and burst, and six tenths of a second of the rate.
func TestFlappingLinksLetLittleThrough(t *testing.T) {
	const (
		rate    = 40.0
		seconds = 24
		window  = 8 * time.Second
		step    = 20 * time.Millisecond
		allowed = (rate*8+rate)*1.1 + 0.6*rate
	)
	for _, cut := range []time.Duration{300, 600, 850, 900, 950, 1100, 1600, 3000} {
		for _, healed := range []time.Duration{100, 400, 1000, 3000} {
			for _, alone := range []bool{false, true} {
				t.Run(fmt.Sprint("cut for ", cut, " ms, healed for ", healed, " ms, one zone ", alone), func(t *testing.T) {
					f := newTestFleet(1)
					f.run(2 * time.Second)
					start := f.now
					var admitted []time.Time
					for f.now.Sub(start) < seconds*time.Second {
						isPartitioned := f.now.Sub(start)%((cut+healed)*time.Millisecond) < cut*time.Millisecond
						f.isPartitioned = func(a, b string) bool { return isPartitioned && a != b && (!alone || a == "b" || b == "b") }
						for _, s := range f.sharers {
							for range 2 {
								if _, ok := s.Limiter.Reserve(f.now, testAccount, rate, rate, 1); ok {
									admitted = append(admitted, f.now)
								}
							}
						}
						f.run(step)
					}
					most, first := 0, 0
					for n, at := range admitted {
						for at.Sub(admitted[first]) >= window {
							first++
						}
						most = max(most, n-first+1)
					}
					if float64(most) > allowed {
						t.Errorf("%d admitted within a window, %.0f are allowed", most, allowed)
					}
					if float64(len(admitted)) < rate*seconds*0.5 {
						t.Errorf("%d admitted in all, of %.0f at the rate", len(admitted), rate*seconds)
					}
				})
			}
		}
	}
}
