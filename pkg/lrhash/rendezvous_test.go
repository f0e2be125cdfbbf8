package lrhash

import (
	"fmt"
	"testing"
)

// best returns the index of the member with the highest score for the key.
func best(key string, members int) int {
	best, bestScore := -1, uint64(0)
	for m := range members {
		s := RendezvousScore(key, fmt.Sprint("i-", m))
		if best < 0 || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// TestKeysSpreadEvenly checks that each of twelve members gets about a twelfth of 12,000 similar keys.
func TestKeysSpreadEvenly(t *testing.T) {
	counts := make([]int, 12)
	for n := range 12_000 {
		counts[best(fmt.Sprint("file", n), len(counts))]++
	}
	for m, c := range counts {
		if c < 850 || c > 1150 {
			t.Errorf("member %d has %d of 12,000 keys", m, c)
		}
	}
}

// TestFewKeysMove checks that few keys move when a thirteenth member is added, and only to that member.
func TestFewKeysMove(t *testing.T) {
	moved := 0
	for n := range 12_000 {
		key := fmt.Sprint("file", n)
		before, after := best(key, 12), best(key, 13)
		if before != after {
			moved++
		}
		if before != after && after != 12 {
			t.Errorf("%s moves between members that stay", key)
		}
	}
	if moved > 1200 {
		t.Errorf("%d of 12,000 keys move, want about 923", moved)
	}
}

// TestKeyAndMemberAreDelimited checks that moving a byte from member to key changes the score.
func TestKeyAndMemberAreDelimited(t *testing.T) {
	if RendezvousScore("ab", "c") == RendezvousScore("a", "bc") {
		t.Error("the score does not depend on where the key ends and the member begins")
	}
}
