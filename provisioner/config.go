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

// Config holds the dependencies of a Provisioner. Fields without a stated default are required.
type Config struct {
	// VM is the name of this VM in the platform's list of VMs.
	VM string
	// Domain is the failure domain of the VM.
	Domain string
	// Environment is "trial" or "production".
	Environment string
	// Address is the address at which other daemons reach this one.
	Address string
	// PlatformAddresses are the addresses of the platform. A call goes to the address that answered last
	// and, when that is unavailable, to the next ones in order.
	PlatformAddresses []string
	// Client makes the calls. It must not set a timeout, because a watch waits for a long time.
	// The default is a new client that ignores proxy settings of the environment.
	Client *http.Client
	Clock  tiller.Clock
	Log    logr.Logger
	// Random returns a random number. The default is math/rand/v2.
	Random func() uint64
	// FirstSeat returns the seat at which the search for a free seat starts. Seats of the daemon's own
	// failure domain are tried first. The default is derived from a hash of VM.
	FirstSeat func(seats int) int
	// Send sends a message to the daemon of a seat. It must not block, and may lose messages.
	Send func(to int, m distributor.Message)
	// Apply makes the daemon apply a document.
	Apply func(*tiller.Document) error
	// LearnFact receives a fact that another daemon has announced. When it is nil, facts are discarded.
	LearnFact func(distributor.Fact)
	// Hold is called when this process has claimed a seat.
	Hold func(HeldSeat)
	// ExtendSeat sets a later HeldSeat.Until. It returns false when the previous one
	// has passed and the daemon has already stopped acting under the seat.
	ExtendSeat func(until tiller.Millis) bool
	// LeaveSeat is called when this process no longer holds its seat.
	LeaveSeat func()
}

// HeldSeat is the seat that this process holds.
type HeldSeat struct {
	Seat        int
	Incarnation int64
	// Until is the time from which the process must not act under the seat, unless ExtendSeat sets a later one.
	Until tiller.Millis
}

// errNoPlatform is returned for a Config without PlatformAddresses.
var errNoPlatform = errors.New("no address of the platform")

// withDefaults returns a copy of c in which unset optional fields have their defaults.
func (c Config) withDefaults() Config {
	if c.Client == nil {
		// Unlike http.DefaultTransport, this transport ignores proxy settings of the environment.
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

// randomBetween returns a random duration from low to high, both inclusive.
func (c Config) randomBetween(low, high tiller.Millis) tiller.Millis {
	return low + tiller.Millis(c.Random()%uint64(high-low+1))
}

// randomBelow returns a random number from 0 to n-1.
func (c Config) randomBelow(n int64) int64 {
	return int64(c.Random() % uint64(n))
}

// sleep waits for d. It returns the error of ctx when ctx ends first.
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
