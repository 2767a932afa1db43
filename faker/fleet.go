package faker

import (
	"maps"
	"net"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// freeAddress is a loopback address on which the operating system picks a free port.
const freeAddress = "127.0.0.1:0"

// Fleet is the set of fakes for a document: a platform and one upstream for each upstream of the document.
type Fleet struct {
	// Platform starts with an empty store and an empty list of VMs.
	Platform *Platform
	// Upstreams holds the upstreams by name.
	Upstreams map[string]*Upstream

	doc tiller.Document
}

// WithUpstream returns a copy of s with the name, limits and holdings that doc defines for u.
func (s UpstreamSettings) WithUpstream(doc tiller.Document, u tiller.Upstream) UpstreamSettings {
	s.Name = u.Name
	s.Slots = u.Slots
	s.Connections = u.Connections
	s.ConnectMillis = u.ConnectMillis
	s.ColdSlots = u.ColdSlots
	s.Holdings = Holdings(doc, u.Name)
	return s
}

// NewFleet returns the fakes for doc. base provides the upstream settings that doc does not define.
// It fails when the platform can't be created or the settings of an upstream are invalid.
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
// with the actual addresses of the upstreams. An upstream listens on its address in the document if that is
// a loopback address, else on a free loopback port. When a fake can't start, Start closes all of them.
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

// loopbackOf returns address if it is a loopback address, else freeAddress.
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

// Close closes every fake and waits for running handlers and pending restarts. It is idempotent.
func (f *Fleet) Close() {
	for u := range maps.Values(f.Upstreams) {
		u.Close()
	}
	f.Platform.Close()
}

// Control returns a handler that serves the Control handlers of the store under /store,
// of the list of VMs under /list and of each upstream under /upstreams/NAME.
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
