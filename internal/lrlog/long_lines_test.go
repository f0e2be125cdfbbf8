package lrlog

import (
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// maxLogMemory is the most memory that lines for a stalled reader may use in the test.
const maxLogMemory = 16 << 20

// Callers choose how long some lines are. Lines of the longest identifier must not fill the memory while the reader of the log is stalled,
// and short ones must still be kept.
func TestLongLinesLeaveMemoryBounded(t *testing.T) {
	_, writer, err := os.Pipe()
	requireEqual(t, err, nil)
	log, _ := New(writer, zerolog.InfoLevel, 0, fixedClock)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	identifier := strings.Repeat("x", 16<<10)
	for range 2 * ringLines {
		log.Info().Str("request", identifier).Msg("test")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	if held > maxLogMemory {
		t.Fatalf("%d MB are held for a stalled reader, at most %d MB are allowed", held>>20, maxLogMemory>>20)
	}
}
