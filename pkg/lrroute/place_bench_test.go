package lrroute

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace places requests of 16,000 client accounts before 9 and before 900 engines.
func BenchmarkPlace(b *testing.B) {
	const accounts = 16000
	requests := make([]Request, 0, 2*accounts)
	for n := range 2 * accounts {
		chain := testChain(fmt.Sprint(n%accounts), 6, 11, n/accounts)
		requests = append(requests, testRequest(fmt.Sprint(n), chain))
	}
	for _, engines := range []int{9, 900} {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			b.ReportAllocs()
			n := NewNestedPlacer(WithSeed(1))
			n.SetEngines(testStart(), testModel, testEngines(engines, testStart()))
			for k := range b.N {
				now := testStart().Add(time.Duration(k) * time.Millisecond)
				request := requests[k%len(requests)]
				placement, _ := n.Place(now, request)
				delete(n.inFlight, inFlightKey{request.ID, placement.Engine})
			}
		})
	}
}
