package decoder

import (
	"math"
	"reflect"

	tiller "github.com/carawaytiller/carawaytiller"
)

// DecodeDocument parses and validates the operators' document. name is the file name given in faults; it may be empty.
// The document is nil if there are faults.
func DecodeDocument(name string, text []byte) (*tiller.Document, Faults) {
	r := newReader(name, "Document", text)
	tree, ok := r.parse(text)
	if !ok {
		return nil, r.faults
	}
	doc := &tiller.Document{}
	r.decodeField("", tree, reflect.ValueOf(doc).Elem())
	newDocumentCheck(r, doc).run()
	if len(r.faults) > 0 {
		return nil, r.faults.sorted()
	}
	return doc, nil
}

// documentCheck validates a decoded document, including the references between its objects.
type documentCheck struct {
	r   *reader
	doc *tiller.Document
	// regions holds the regions that contain a failure domain.
	regions map[string]bool
	// domains holds the names of the failure domains.
	domains map[string]bool
	// upstreamDomains maps the name of an upstream to the name of its failure domain.
	upstreamDomains map[string]string
	// upstreamServices maps the name of an upstream to the path of the service that uses it.
	upstreamServices map[string]string
	// versions holds the version of every upstream, together with the service that uses the upstream.
	versions map[serviceVersion]bool
	// servicePaths maps the name of a service to its path.
	servicePaths map[string]string
}

// serviceVersion identifies an upstream version of the service at path.
type serviceVersion struct{ path, version string }

// newDocumentCheck returns a check of doc, which r has decoded.
func newDocumentCheck(r *reader, doc *tiller.Document) *documentCheck {
	c := &documentCheck{
		r:                r,
		doc:              doc,
		regions:          map[string]bool{},
		domains:          map[string]bool{},
		upstreamDomains:  map[string]string{},
		upstreamServices: map[string]string{},
		versions:         map[serviceVersion]bool{},
		servicePaths:     map[string]string{},
	}
	for _, d := range doc.Domains {
		c.regions[d.Region] = true
		c.domains[d.Name] = true
	}
	// A missing name or region decodes as the empty string, which is not a valid reference.
	delete(c.regions, "")
	delete(c.domains, "")
	for _, u := range doc.Upstreams {
		c.upstreamDomains[u.Name] = u.Domain
	}
	return c
}

// run validates the document and records every fault.
func (c *documentCheck) run() {
	c.r.checkOneOf("Environment", c.doc.Environment, environments)
	checkRange(c.r, "Revision", c.doc.Revision, 0, math.MaxInt64)
	checkRange(c.r, "Seats", c.doc.Seats, 1, maxSeats)
	c.checkDomains()
	c.checkUpstreams()
	c.checkServices()
	c.checkMoves()
}

func (c *documentCheck) checkDomains() {
	c.r.checkNotEmpty("Domains", len(c.doc.Domains))
	names := map[string]string{}
	for i, d := range c.doc.Domains {
		path := indexPath("Domains", i)
		c.r.checkUniqueName(joinPath(path, "Name"), d.Name, names)
		c.r.checkName(joinPath(path, "Region"), d.Region)
	}
}

// checkServices checks all services and records their paths.
func (c *documentCheck) checkServices() {
	names := map[string]string{}
	for i, s := range c.doc.Services {
		path := indexPath("Services", i)
		c.servicePaths[s.Name] = path
		c.r.checkUniqueName(joinPath(path, "Name"), s.Name, names)
		c.checkService(path, s)
	}
}
