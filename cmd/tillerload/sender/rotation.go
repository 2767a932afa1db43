package sender

import (
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// Rotation holds the addresses of the daemons that get queries, as a load balancer does.
// Its methods may be called from any goroutine.
type Rotation struct {
	mu        sync.Mutex
	addresses []string
}

// errNoDaemon is the error of a query while the rotation is empty.
var errNoDaemon = errors.New("no daemon in the rotation")

// NewRotation returns a Rotation of addresses.
func NewRotation(addresses ...string) *Rotation {
	return &Rotation{addresses: slices.Clone(addresses)}
}

// Add puts an address into the rotation.
func (r *Rotation) Add(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = append(r.addresses, address)
}

// Remove takes an address out of the rotation.
func (r *Rotation) Remove(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = slices.DeleteFunc(r.addresses, func(a string) bool { return a == address })
}

// Addresses returns the addresses.
func (r *Rotation) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.addresses)
}

// pick returns the address that a random number decides on.
func (r *Rotation) pick(random int) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.addresses) == 0 {
		return "", errNoDaemon
	}
	return r.addresses[random%len(r.addresses)], nil
}
