package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// checkUpstreams checks the upstreams.
func (c *documentCheck) checkUpstreams() {
	names := map[string]string{}
	addresses := map[string]string{}
	for i, u := range c.doc.Upstreams {
		path := index("Upstreams", i)
		c.r.uniqueName(join(path, "Name"), u.Name, names)
		if a, ok := c.r.remoteAddress(join(path, "Address"), u.Address); ok {
			c.r.unique(join(path, "Address"), a.String(), addresses)
		}
		c.checkUpstreamDomain(join(path, "Domain"), u.Domain)
		c.checkUpstreamLimits(path, u)
	}
}

// checkUpstreamDomain checks that the failure domain of an upstream is known.
func (c *documentCheck) checkUpstreamDomain(path, name string) {
	if !c.r.text(path, name) || !c.r.given("Domains") {
		return
	}
	if !c.domains[name] {
		c.r.faultAt(path, "unknown failure domain %s", quoted(name))
	}
}

// checkUpstreamLimits checks the numbers of an upstream.
// Slots may exceed Connections, because HTTP/2 carries many requests on one connection.
func (c *documentCheck) checkUpstreamLimits(path string, u tiller.Upstream) {
	if u.Version != "" {
		c.r.text(join(path, "Version"), u.Version)
	}
	within(c.r, join(path, "Slots"), u.Slots, 1, maxSlots)
	within(c.r, join(path, "Connections"), u.Connections, 1, maxConnections)
	within(c.r, join(path, "ConnectMillis"), u.ConnectMillis, 0, maxConnect)
	within(c.r, join(path, "ColdSlots"), u.ColdSlots, 1, maxSlots)
	if c.r.given(join(path, "Slots")) && c.r.given(join(path, "ColdSlots")) && u.ColdSlots > u.Slots {
		c.r.faultAt(join(path, "ColdSlots"), "%d is more than Slots, %d", u.ColdSlots, u.Slots)
	}
}
