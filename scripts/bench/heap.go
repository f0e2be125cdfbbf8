package main

import "runtime"

// heapBytes returns the number of heap bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
