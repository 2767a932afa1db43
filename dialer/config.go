package dialer

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// connectTimeoutMillis bounds the time for opening a connection, including the wait for the
	// upstream's first bytes.
	connectTimeoutMillis = tiller.Second
	// idleTimeoutMillis is the time without attempts after which a connection is closed.
	idleTimeoutMillis = tiller.Minute
	// freshAgeMillis is the maximum time since the last byte read for which a connection counts as fresh.
	freshAgeMillis = tiller.Second
	// minSilentMillis is the default lower bound of the time without received bytes after which a
	// connection is suspect.
	minSilentMillis tiller.Millis = 250
	// silentLatencyFactor times the 99th percentile of latency is the time without received bytes after
	// which a connection is suspect, if that exceeds the lower bound.
	silentLatencyFactor = 4
	// loadPollMillis is the minimum interval between two polls of an upstream's load, and the time-out
	// of a poll.
	loadPollMillis = tiller.Second
	// loadPollJitterMillis is the maximum random addition to loadPollMillis. A poll thus starts at most
	// 1.25 s after the one before has ended, so that a draining upstream is noticed well within 3 s.
	loadPollJitterMillis tiller.Millis = 250
	// defaultConnections is the connection limit of an upstream that was not passed to Apply.
	defaultConnections = 1
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// Config holds the dependencies of a Dialer. Clock is required.
type Config struct {
	Clock tiller.Clock
	// Random returns random numbers for jitter; nil means rand.Uint64.
	Random func() uint64
	// OnRestart is called when an upstream may have restarted: a connection to it could not be opened
	// or was lost, or it reported a greater incarnation. lost reports whether attempts were outstanding
	// on the lost connection; OnRestart then returns before any of those attempts fails.
	OnRestart func(upstream string, lost bool)
	// OnLoadReport is called with each load report of an upstream.
	OnLoadReport func(upstream string, inFlight int, draining bool)
	// SilentMillis is the lower bound of the time without received bytes, in milliseconds, after which a
	// connection with outstanding requests is suspect; 0 means 250.
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

// Target is an upstream and the maximum number of connections from this daemon to it.
type Target struct {
	Name        string
	Address     string
	Connections int
}
