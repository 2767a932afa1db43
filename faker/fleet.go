package faker

import (
	"maps"
	"net"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// freeAddress is the loopback address of a fake that takes a free port.
const freeAddress = "127.0.0.1:0"

// Fleet is the fakes that a document needs: a platform and the document's upstreams.
type Fleet struct {
	// Platform has an empty store and an empty list of VMs at first.
	Platform *Platform
	// Upstreams holds the upstreams by name.
	Upstreams map[string]*Upstream

	doc tiller.Document
}

// WithUpstream returns a copy of s with the name, the limits and the holdings that doc states for u.
func (s UpstreamSettings) WithUpstream(doc tiller.Document, u tiller.Upstream) UpstreamSettings {
	s.Name = u.Name
	s.Slots = u.Slots
	s.Connections = u.Connections
	s.ConnectMillis = u.ConnectMillis
	s.ColdSlots = u.ColdSlots
	s.Holdings = Holdings(doc, u.Name)
	return s
}

// NewFleet returns the fakes of doc. base holds the settings of upstreams that doc does not state.
// It fails when an upstream can't be served.
func NewFleet(doc tiller.Document, base UpstreamSettings, store StoreSettings, clock tiller.Clock) (*Fleet, error) {
	p, err := NewPlatform(store, clock)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: p, Upstreams: map[string]*Upstream{}, doc: doc}
	for _, u := range doc.Upstreams {
		fake, err := NewUpstream(base.WithUpstream(doc, u), clock)
		if err != nil {
			f.Close()
			return nil, errors.Wrapf(err, "upstream %s", u.Name)
		}
		f.Upstreams[u.Name] = fake
	}
	return f, nil
}

// Start starts every fake and returns the address of the platform and the document
// with the addresses of the upstreams. An upstream whose address in the document is a loopback address
// listens there; any other takes a free port. When one can't start, all are closed.
func (f *Fleet) Start() (platform string, doc tiller.Document, err error) {
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	platform, err = f.Platform.Start(freeAddress)
	if err != nil {
		return "", tiller.Document{}, errors.Wrap(err, "platform")
	}
	doc = f.doc
	doc.Upstreams = slices.Clone(doc.Upstreams)
	for i, u := range doc.Upstreams {
		doc.Upstreams[i].Address, err = f.Upstreams[u.Name].Start(loopbackOf(u.Address))
		if err != nil {
			return "", tiller.Document{}, errors.Wrapf(err, "upstream %s", u.Name)
		}
	}
	return platform, doc, nil
}

// loopbackOf returns address when it is a loopback address, else one with a free port.
func loopbackOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return freeAddress
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return freeAddress
	}
	return address
}

// Close closes every fake and waits for all that runs. It may be called twice.
func (f *Fleet) Close() {
	for u := range maps.Values(f.Upstreams) {
		u.Close()
	}
	f.Platform.Close()
}

// Control returns a handler with the Control handlers of the store under /store,
// of the list of VMs under /list and of the upstreams under /upstreams/NAME.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	handleUnder(mux, "/store", f.Platform.Store.Control())
	handleUnder(mux, "/list", f.Platform.VMs.Control())
	for name, u := range f.Upstreams {
		handleUnder(mux, "/upstreams/"+name, u.Control())
	}
	return mux
}

func handleUnder(mux *http.ServeMux, prefix string, h http.Handler) {
	mux.Handle(prefix+"/", http.StripPrefix(prefix, h))
}
