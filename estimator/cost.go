package estimator

import (
	"runtime"
	"time"
)

// Cost is the calculated cost of one mechanism per daemon, at a given size.
type Cost struct {
	// Mechanism names the package and the measured work.
	Mechanism string
	// Slope describes in text the measured unit costs, such as the time for one change.
	Slope string
	// CoreShare is the share of one core, Bytes is memory, and BytesPerSecond and MessagesPerSecond are sent traffic.
	CoreShare         float64
	Bytes             float64
	BytesPerSecond    float64
	MessagesPerSecond float64
	// Control reports whether the cost counts towards the budget for control rather than as work on queries.
	Control bool
}

// secondsPerCall returns the mean duration of a call of f in seconds, over at least the given number of calls and 50 ms.
func secondsPerCall(calls int, f func()) float64 {
	start := time.Now()
	n := 0
	for n < calls || time.Since(start) < 50*time.Millisecond {
		f()
		n++
	}
	return time.Since(start).Seconds() / float64(n)
}

// retainedBytes returns the memory that the value returned by f keeps in use.
func retainedBytes[T any](f func() T) float64 {
	before := liveHeapBytes()
	value := f()
	after := liveHeapBytes()
	runtime.KeepAlive(value)
	return max(0, after-before)
}

// liveHeapBytes returns the bytes of live heap objects after garbage collection.
func liveHeapBytes() float64 {
	// The second collection frees objects that finalizers of the first one released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// countAllocations returns the number of heap allocations during f.
func countAllocations(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs)
}
