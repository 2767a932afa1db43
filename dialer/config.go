package dialer

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// connectTimeoutMillis bounds opening a connection, including the upstream's first bytes.
	connectTimeoutMillis = tiller.Second
	// idleMillis is how long a connection without attempts stays open.
	idleTimeoutMillis = tiller.Minute
	// freshMillis is the age of the last byte read up to which a connection counts as fresh.
	freshAgeMillis = tiller.Second
	// silentFloorMillis is the shortest time without bytes after which a connection is suspect.
	minSilentMillis tiller.Millis = 250
	// silentFactor times the 99th percentile of latency makes a connection suspect, above the floor.
	silentLatencyFactor = 4
	// loadMillis is the shortest time between two polls of an upstream's load.
	loadPollMillis = tiller.Second
	// loadJitterMillis is the greatest random addition to loadMillis. With it a poll is at most
	// 1.25 s late, so that a draining upstream is noticed well within 3 s.
	loadPollJitterMillis tiller.Millis = 250
	// defaultConnections is the limit for an upstream that Apply has not named.
	defaultConnections = 1
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Config holds what a Dialer depends on. Clock is required.
type Config struct {
	Clock tiller.Clock
	// Random returns random numbers for jitter; nil means a seeded source of the runtime.
	Random func() uint64
	// OnRestart is told of signs that an upstream restarted; lost says that attempts were outstanding.
	// For a lost connection it returns before any of those attempts fails.
	OnRestart func(upstream string, lost bool)
	// OnLoadReport is told of an upstream's own load report.
	OnLoadReport func(upstream string, inFlight int, draining bool)
	// SilentMillis is the shortest time without bytes, in milliseconds, after which a connection with requests
	// outstanding is suspect; 0 means 250.
	SilentMillis tiller.Millis
	// Count adds n to a counter. It must not block.
	Count func(name string, label tiller.Reason, n int64)
}

func (c Config) withDefaults() Config {
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	if c.SilentMillis == 0 {
		c.SilentMillis = minSilentMillis
	}
	if c.OnRestart == nil {
		c.OnRestart = func(string, bool) {}
	}
	if c.OnLoadReport == nil {
		c.OnLoadReport = func(string, int, bool) {}
	}
	if c.Count == nil {
		c.Count = func(string, tiller.Reason, int64) {}
	}
	return c
}

// Target is an upstream and the number of connections that this daemon may have to it.
type Target struct {
	Name        string
	Address     string
	Connections int
}
