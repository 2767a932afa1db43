package conductor

import (
	"io"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// progressGap is the time between two lines of progress.
const progressGap = 2 * time.Second

// Config says what a load is.
type Config struct {
	// Deployment is that of the sampler which the daemons serve.
	Deployment string
	// Addresses are those of the daemons; none means an embedded fleet.
	Addresses []string
	// Rate is in queries per second.
	Rate float64
	// WarmUp is the time before the measured time Duration.
	WarmUp, Duration time.Duration
	Seed             uint64
	Mix, Callers     planner.Weights
	Bodies           int
	ResendPercent    int
	Deadline         time.Duration
	// Fault has its time counted from the end of the warm-up.
	Fault injector.Fault
	// Progress gets the lines of progress and the first violations.
	Progress io.Writer
	Logger   logr.Logger
}

// isEmbedded says whether the fleet runs in this process.
func (c Config) isEmbedded() bool { return len(c.Addresses) == 0 }

// length is the whole time for which queries are sent.
func (c Config) length() time.Duration { return c.WarmUp + c.Duration }

// faultTime returns when the fault begins and ends, counted from the begin of the warm-up. Without a fault
// both are 0.
func (c Config) faultTime() (from, to time.Duration) {
	if c.Fault.Name == injector.None {
		return 0, 0
	}
	from = c.WarmUp + c.Fault.At
	return from, from + c.Fault.For
}
