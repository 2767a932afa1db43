package carawaytiller

import "time"

// Millis is a point in time or a length of time, in milliseconds.
// Points in time count from an origin chosen by the Clock.
type Millis int64

// Common lengths of time, in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to Millis, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells the time in milliseconds. It is the only source of time in the project.
type Clock struct {
	// Now returns the present time. It never goes back.
	Now func() Millis
}

// SystemClock returns a monotonic Clock whose origin is the Unix epoch
// as read when SystemClock was called.
func SystemClock() Clock {
	start := time.Now()
	origin := Millis(start.UnixMilli())
	return Clock{Now: func() Millis {
		return origin + FromDuration(time.Since(start))
	}}
}

// FixedClock returns a Clock that always tells now. It is meant for tests and examples.
func FixedClock(now Millis) Clock {
	return Clock{Now: func() Millis { return now }}
}
