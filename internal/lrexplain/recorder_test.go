package lrexplain

import (
	"fmt"
	"testing"
)

func TestRecorderKeepsTheLatest(t *testing.T) {
	recorder := NewRecorder(3)
	for n := range 5 {
		recorder.Record(Explanation{RequestID: fmt.Sprint("request-", n)})
	}
	for n := range 5 {
		_, ok := recorder.Find(fmt.Sprint("request-", n))
		if ok != (n >= 2) {
			t.Fatalf("request-%d: found %t", n, ok)
		}
	}
}
