package estimator

import (
	"runtime"
	"time"
)

// Cost is what one mechanism costs a daemon, worked out for a size.
type Cost struct {
	// Mechanism names the package and the work.
	Mechanism string
	// Slope says what was measured, for a person.
	Slope string
	// CoreShare is the share of one core; Bytes the memory; BytesPerSecond and MessagesPerSecond what is sent.
	CoreShare         float64
	Bytes             float64
	BytesPerSecond    float64
	MessagesPerSecond float64
	// Control says that the cost counts towards the budget for control, and not as work on queries.
	Control bool
}

// timeOf returns the seconds that one call of f takes, from at least the given number of calls and 50 ms.
func timeOf(calls int, f func()) float64 {
	start := time.Now()
	n := 0
	for n < calls || time.Since(start) < 50*time.Millisecond {
		f()
		n++
	}
	return time.Since(start).Seconds() / float64(n)
}

// bytesOf returns the memory that stays in use through the value that f returns.
func bytesOf[T any](f func() T) float64 {
	before := heapInUse()
	value := f()
	after := heapInUse()
	runtime.KeepAlive(value)
	return max(0, after-before)
}

// heapInUse returns the bytes of live objects after a collection.
func heapInUse() float64 {
	// The second collection frees what finalizers of the first released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// allocationsOf returns the number of allocations made by f.
func allocationsOf(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs)
}
