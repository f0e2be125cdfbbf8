package lrroute

import (
	"fmt"
	"testing"
	"time"
)

// placeHotLoad places requests for 5 minutes: hot percent of them for one prefix and the others for many other prefixes. It returns the
// subset size of the one prefix at the end and how often that changed in the last two minutes.
func placeHotLoad(t *testing.T, n *NestedPlacer, start time.Time, hot func(second int) int) (size uint16, changes int) {
	t.Helper()
	chain := testChain("parish-office", 6, 6, 0)
	for second := range 300 {
		for k := range 20 {
			now := start.Add(time.Duration(second)*time.Second + time.Duration(k)*50*time.Millisecond)
			number := second*20 + k
			request := testRequest(fmt.Sprint(now.UnixNano()), testChain("other", 0, 6, number))
			if number*37%100 < hot(second) {
				request.Chain = chain
			}
			_ = mustServe(t, n, now, request)
		}
		entry := n.blocks.find(chain[0])
		if entry != nil && entry.subsetSize != size && second > 180 {
			changes++
		}
		if entry != nil {
			size = entry.subsetSize
		}
	}
	return size, changes
}

func TestSubsetOfHotPrefixGrowsAndShrinks(t *testing.T) {
	n := newTestNested(60)
	cold, _ := placeHotLoad(t, n, testStart(), func(int) int { return 2 })
	hot, _ := placeHotLoad(t, n, testStart().Add(5*time.Minute), func(int) int { return 30 })
	cooled, _ := placeHotLoad(t, n, testStart().Add(10*time.Minute), func(int) int { return 2 })
	if cold > 2 || hot < 15 || hot > 21 || cooled > 3 {
		t.Fatalf("the prefix had %d engines at 2%% of the load, %d at 30%%, %d at 2%% again, of 60", cold, hot, cooled)
	}
}

func TestSmallLoadChangesKeepSubsetSize(t *testing.T) {
	const tokens = 100
	n := newTestNested(60)
	m := n.models[testModel]
	m.rate = 1e9
	b := &block{}
	resize := func(share float64) uint16 {
		b.rate = float32(share * m.rate)
		n.resize(m, b, tokens)
		return b.subsetSize
	}
	requireEqual(t, resize(4.4/60), 4, "engines for 4.4 sixtieths of the load")
	for range 10 {
		requireEqual(t, resize(4.7/60), 4, "engines after a small rise")
		requireEqual(t, resize(3.4/60), 4, "engines after a small fall")
	}
	requireEqual(t, resize(5.2/60), 5, "engines after a large rise")
	requireEqual(t, resize(3.9/60), 4, "engines after a large fall")
}
