package crowdtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// PeakMemory returns the largest resident memory in bytes that the process has had, or zero if it has ended.
func PeakMemory(pid int) int { return statusBytes(pid, "VmHWM:") }

// ResidentMemory returns the present resident memory of the process in bytes, or zero if it has ended.
func ResidentMemory(pid int) int { return statusBytes(pid, "VmRSS:") }

// statusBytes returns a size from the status of the process in bytes, or zero if it has ended.
func statusBytes(pid int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// Descriptors returns the number of open descriptors of the process, or zero if it has ended.
func Descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// RequireBounded checks that the process is running, that its memory never exceeded maxMemory bytes, and that it has at most
// maxDescriptors open.
func RequireBounded(t *testing.T, pid, maxMemory, maxDescriptors int) {
	t.Helper()
	peak, open := PeakMemory(pid), Descriptors(pid)
	t.Logf("the process used at most %.1f MB and has %d descriptors open", float64(peak)/(1<<20), open)
	if peak == 0 {
		t.Fatal("the process has ended")
	}
	if peak > maxMemory {
		t.Errorf("the process used %.1f MB of memory, at most %d MB are allowed", float64(peak)/(1<<20), maxMemory>>20)
	}
	if open > maxDescriptors {
		t.Errorf("the process has %d descriptors open, at most %d are allowed", open, maxDescriptors)
	}
}
