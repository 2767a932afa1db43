package provisioner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
)

// Config holds what a Provisioner depends on. The fields without a default are required.
type Config struct {
	// VM is the name of this VM in the platform's list.
	VM string
	// Domain is the failure domain of the VM.
	Domain string
	// Environment is "trial" or "production".
	Environment string
	// Address is where the other daemons reach this one.
	Address string
	// PlatformAddresses are the addresses of the platform. Calls go to the first one that answers.
	PlatformAddresses []string
	// Client makes the calls; nil means a client of its own. Its requests must not be bounded in time.
	Client *http.Client
	Clock  tiller.Clock
	Log    logr.Logger
	// Random returns a random number; nil means a source of the runtime.
	Random func() uint64
	// FirstSeat returns the seat that is tried first among those of the own failure domain;
	// nil means a hash of the name of the VM.
	FirstSeat func(seats int) int
	// Send sends a message to the daemon of a seat without blocking; a lost message does no harm.
	Send func(to int, m distributor.Message)
	// Apply puts a document in force.
	Apply func(*tiller.Document) error
	// LearnFact hands over a fact that another daemon has announced; nil when nobody wants them.
	LearnFact func(distributor.Fact)
	// TakeSeat tells the seat that this process holds from now on.
	TakeSeat func(HeldSeat)
	// ExtendSeat tells the new end of the time for which the seat is held, and
	// returns false when the time was over already and the seat has been given up.
	ExtendSeat func(until tiller.Millis) bool
	// LeaveSeat tells that this process no longer holds its seat.
	LeaveSeat func()
}

// HeldSeat is the seat of this process.
type HeldSeat struct {
	Seat        int
	Incarnation int64
	// Until is the time from which the process must no longer act under the seat, unless it is extended.
	Until tiller.Millis
}

// errNoPlatform refuses a configuration without an address of the platform.
var errNoPlatform = errors.New("no address of the platform")

// withDefaults returns a copy of c whose optional fields are set.
func (c Config) withDefaults() Config {
	if c.Client == nil {
		// A transport of its own, which no proxy setting of the environment applies to.
		c.Client = &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	}
	if c.Random == nil {
		c.Random = rand.Uint64
	}
	if c.FirstSeat == nil {
		c.FirstSeat = func(seats int) int { return int(xxhash.Sum64String(c.VM) % uint64(seats)) }
	}
	return c
}

// between returns a random length of time from low up to high.
func (c Config) randomBetween(low, high tiller.Millis) tiller.Millis {
	return low + tiller.Millis(c.Random()%uint64(high-low+1))
}

// below returns a random number from 0 up to n.
func (c Config) randomBelow(n int64) int64 {
	return int64(c.Random() % uint64(n))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d tiller.Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
