package carawaytiller

import "time"

// Millis is a point in time or a duration, in milliseconds.
// A point in time is relative to the origin of the Clock that returned it.
type Millis int64

// Common durations, in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to Millis, truncated toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns the time in milliseconds. It is the only clock type in the project.
type Clock struct {
	// Now returns the current time. It never decreases.
	Now func() Millis
}

// SystemClock returns a monotonic Clock that counts from the Unix epoch. The system's wall clock is
// read once, by this call; later changes of it have no effect.
func SystemClock() Clock {
	start := time.Now()
	origin := Millis(start.UnixMilli())
	return Clock{Now: func() Millis {
		return origin + FromDuration(time.Since(start))
	}}
}

// FixedClock returns a Clock that always returns now. It is for tests and examples.
func FixedClock(now Millis) Clock {
	return Clock{Now: func() Millis { return now }}
}
