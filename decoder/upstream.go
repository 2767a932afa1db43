package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// checkUpstreams checks the upstreams, whose names and addresses must be unique.
func (c *documentCheck) checkUpstreams() {
	names := map[string]string{}
	addresses := map[string]string{}
	for i, u := range c.doc.Upstreams {
		path := indexPath("Upstreams", i)
		c.r.checkUniqueName(joinPath(path, "Name"), u.Name, names)
		if a, ok := c.r.parseRemoteAddress(joinPath(path, "Address"), u.Address); ok {
			c.r.checkUnique(joinPath(path, "Address"), a.String(), addresses)
		}
		c.checkUpstreamDomain(joinPath(path, "Domain"), u.Domain)
		c.checkUpstreamLimits(path, u)
	}
}

// checkUpstreamDomain checks that an upstream refers to a known failure domain.
func (c *documentCheck) checkUpstreamDomain(path, name string) {
	if !c.r.checkName(path, name) || !c.r.decoded("Domains") {
		return
	}
	if !c.domains[name] {
		c.r.addFaultAt(path, "unknown failure domain %s", quoted(name))
	}
}

// checkUpstreamLimits checks the version and the ranges of the numeric fields of an upstream.
// Slots may exceed Connections, because HTTP/2 carries many requests on one connection.
func (c *documentCheck) checkUpstreamLimits(path string, u tiller.Upstream) {
	if u.Version != "" {
		c.r.checkName(joinPath(path, "Version"), u.Version)
	}
	checkRange(c.r, joinPath(path, "Slots"), u.Slots, 1, maxSlots)
	checkRange(c.r, joinPath(path, "Connections"), u.Connections, 1, maxConnections)
	checkRange(c.r, joinPath(path, "ConnectMillis"), u.ConnectMillis, 0, maxConnectMillis)
	checkRange(c.r, joinPath(path, "ColdSlots"), u.ColdSlots, 1, maxSlots)
	if c.r.decoded(joinPath(path, "Slots")) && c.r.decoded(joinPath(path, "ColdSlots")) && u.ColdSlots > u.Slots {
		c.r.addFaultAt(joinPath(path, "ColdSlots"), "%d is more than Slots, %d", u.ColdSlots, u.Slots)
	}
}
