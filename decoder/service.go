package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// waitForValues lists the valid values of WaitFor.
var waitForValues = []string{string(tiller.WaitForCoverage), string(tiller.WaitForTail)}

// checkService checks the service at path, except for its name.
func (c *documentCheck) checkService(path string, s tiller.Service) {
	c.checkRegion(joinPath(path, "Region"), s.Region)
	c.checkRoutes(joinPath(path, "Routes"), s.Routes)
	c.r.checkOneOf(joinPath(path, "WaitFor"), string(s.WaitFor), waitForValues)
	c.checkServiceLimits(path, s)
	c.checkSnapshots(joinPath(path, "Snapshots"), path, s.Snapshots)
	c.checkCurrent(path, s)
	c.checkPlacement(path, s)
}

// checkRegion checks that the home region of a service contains a failure domain.
// An empty region stands for the region with most upstreams of the service.
func (c *documentCheck) checkRegion(path, region string) {
	if region != "" && c.r.decoded(path) && c.r.decoded("Domains") && !c.regions[region] {
		c.r.addFaultAt(path, "no failure domain is in region %s", quoted(region))
	}
}

// checkRoutes checks that a service has routes with unique names, and that a route that must not be repeated
// is also Single.
func (c *documentCheck) checkRoutes(path string, routes []tiller.Route) {
	c.r.checkNotEmpty(path, len(routes))
	if !c.r.decoded(path) {
		return
	}
	names := map[string]string{}
	for i, route := range routes {
		at := indexPath(path, i)
		c.r.checkUniqueName(joinPath(at, "Name"), route.Name, names)
		if c.r.decoded(joinPath(at, "Repeatable")) && !route.Repeatable && !route.Single {
			c.r.addFaultAt(joinPath(at, "Repeatable"), "a route that is not Repeatable must be Single")
		}
	}
}

// checkServiceLimits checks the ranges of the numeric fields of a service.
func (c *documentCheck) checkServiceLimits(path string, s tiller.Service) {
	checkRange(c.r, joinPath(path, "NeededCoverage"), s.NeededCoverage, 0, 1)
	checkRange(c.r, joinPath(path, "DeadlineMillis"), s.DeadlineMillis, 1, maxDeadlineMillis)
	checkRange(c.r, joinPath(path, "StragglerMillis"), s.StragglerMillis, 0, maxStragglerMillis(s))
	checkRange(c.r, joinPath(path, "Limit"), s.Limit, 1, maxItems)
	checkRange(c.r, joinPath(path, "QueueLimit"), s.QueueLimit, 1, maxQueueLimit)
	checkRange(c.r, joinPath(path, "HedgePercent"), s.HedgePercent, 0, maxPercent)
	checkRange(c.r, joinPath(path, "RetryPercent"), s.RetryPercent, 0, maxPercent)
}

// maxStragglerMillis returns the upper bound of StragglerMillis: the deadline of s,
// or maxDeadlineMillis if that deadline is invalid.
func maxStragglerMillis(s tiller.Service) tiller.Millis {
	if s.DeadlineMillis < 1 {
		return maxDeadlineMillis
	}
	return s.DeadlineMillis
}

// checkCurrent checks that the current snapshot exists.
func (c *documentCheck) checkCurrent(path string, s tiller.Service) {
	current := joinPath(path, "Current")
	if !c.r.checkName(current, s.Current) || !c.r.decoded(joinPath(path, "Snapshots")) {
		return
	}
	if _, ok := s.Snapshot(s.Current); !ok {
		c.r.addFaultAt(current, "no snapshot is called %s", quoted(s.Current))
	}
}

// checkPlacement checks that at least one upstream of the service is in a known failure domain.
func (c *documentCheck) checkPlacement(path string, s tiller.Service) {
	checkable := c.r.decoded("Domains") && c.r.decoded("Upstreams") && c.r.decoded(joinPath(path, "Snapshots"))
	if !checkable || c.hasKnownDomain(s) {
		return
	}
	c.r.addFaultAt(path, "the service has no upstream in a known failure domain")
}

// hasKnownDomain reports whether at least one upstream of s is in a known failure domain.
func (c *documentCheck) hasKnownDomain(s tiller.Service) bool {
	for _, snapshot := range s.Snapshots {
		for _, shard := range snapshot.Shards {
			for _, name := range shard.Upstreams {
				if c.domains[c.upstreamDomains[name]] {
					return true
				}
			}
		}
	}
	return false
}
