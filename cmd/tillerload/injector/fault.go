package injector

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Name names a fault.
type Name string

// The faults.
const (
	None          Name = "none"
	Straggler     Name = "straggler"
	Silent        Name = "silent"
	Shed          Name = "shed"
	Cold          Name = "cold"
	DomainOut     Name = "domain-out"
	UpstreamCrash Name = "upstream-crash"
	Poison        Name = "poison"
	Mismatch      Name = "mismatch"
	StoreOutage   Name = "store-outage"
	StoreSlow     Name = "store-slow"
	DaemonStop    Name = "daemon-stop"
	DaemonKill    Name = "daemon-kill"
)

// names are the faults in the order of their description.
var names = []Name{
	None, Straggler, Silent, Shed, Cold, DomainOut, UpstreamCrash, Poison, Mismatch,
	StoreOutage, StoreSlow, DaemonStop, DaemonKill,
}

// OutMillis is the time after which a failure domain that was taken out gets no new work.
const OutMillis = 3 * tiller.Second

// Fault is a fault with its time and place.
type Fault struct {
	Name Name
	// At is when it begins, counted from the start of the load, and For how long it lasts.
	At, For time.Duration
	// Domain is the failure domain of the upstreams that have it, or that is taken out.
	Domain string
	// Seat is that of the daemon that is stopped or killed.
	Seat int
}

// Check returns an error when a fleet that serves doc cannot have the fault under a load of the given length.
func (f Fault) Check(doc *tiller.Document, length time.Duration) error {
	switch {
	case !slices.Contains(names, f.Name):
		return errors.Errorf("--fault %q: no such fault; there are %s", f.Name, names)
	case f.Name == None:
		return nil
	case f.At < 0:
		return errors.Errorf("--fault-at %s: before the start of the load", f.At)
	case f.For <= 0:
		return errors.Errorf("--fault-for %s: not a positive time", f.For)
	case f.At+f.For > length:
		return errors.Errorf("--fault-for %s: the fault at %s would outlast the load of %s", f.For, f.At, length)
	case f.Name == DomainOut && f.For <= OutMillis.Duration():
		return errors.Errorf("--fault-for %s: a failure domain must be out for more than %s to be checked", f.For, OutMillis.Duration())
	case f.Seat < 0 || f.Seat >= doc.Seats:
		return errors.Errorf("--fault-seat %d: the seats are 0 to %d", f.Seat, doc.Seats-1)
	case !slices.ContainsFunc(doc.Domains, func(d tiller.Domain) bool { return d.Name == f.Domain }):
		return errors.Errorf("--fault-domain %q: no such failure domain", f.Domain)
	}
	return nil
}
