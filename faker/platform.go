package faker

import (
	"net/http"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// Platform serves a Store and a VMList at one address.
type Platform struct {
	*Endpoint
	Store *Store
	VMs   *VMList
}

// NewPlatform returns a Platform with an empty store and an empty list of VMs.
// It fails only when the generated server can't be created.
func NewPlatform(settings StoreSettings, clock tiller.Clock) (*Platform, error) {
	store, err := NewStore(settings, clock)
	if err != nil {
		return nil, err
	}
	vms, err := NewVMList(clock)
	if err != nil {
		return nil, err
	}
	h, err := newPlatformHandler(store, vms)
	if err != nil {
		return nil, err
	}
	return &Platform{Endpoint: NewEndpoint(h), Store: store, VMs: vms}, nil
}

// Close closes the store, the list and the endpoint.
func (p *Platform) Close() {
	p.Store.Close()
	p.VMs.Close()
	p.Endpoint.Close()
}

// platformHandler implements the published platform interface with a Store and a VMList.
type platformHandler struct {
	*Store
	*VMList
}

// newPlatformHandler returns a handler of the platform interface.
// The operations of a nil store or a nil list answer Unavailable.
func newPlatformHandler(store *Store, vms *VMList) (http.Handler, error) {
	if store == nil {
		store = &Store{clock: tiller.FixedClock(0), closed: true}
	}
	if vms == nil {
		vms = &VMList{clock: tiller.FixedClock(0), faults: VMListFaults{Outage: true}}
	}
	h, err := platform.NewServer(platformHandler{Store: store, VMList: vms}, platform.WithErrorHandler(requestError))
	if err != nil {
		return nil, errors.Wrap(err, "platform server")
	}
	return h, nil
}
