package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// waitFors lists the values of WaitFor.
var waitFors = []string{string(tiller.WaitForCoverage), string(tiller.WaitForTail)}

// checkService checks one service.
func (c *documentCheck) checkService(path string, s tiller.Service) {
	c.checkRegion(join(path, "Region"), s.Region)
	c.checkRoutes(join(path, "Routes"), s.Routes)
	c.r.oneOf(join(path, "WaitFor"), string(s.WaitFor), waitFors)
	c.checkServiceLimits(path, s)
	c.checkSnapshots(join(path, "Snapshots"), path, s.Snapshots)
	c.checkCurrent(path, s)
	c.checkPlacement(path, s)
}

// checkRegion checks that the home region has a failure domain. An empty region means that of most upstreams.
func (c *documentCheck) checkRegion(path, region string) {
	if region != "" && c.r.given(path) && c.r.given("Domains") && !c.regions[region] {
		c.r.faultAt(path, "no failure domain is in region %s", quoted(region))
	}
}

// checkRoutes checks the routes of a service.
func (c *documentCheck) checkRoutes(path string, routes []tiller.Route) {
	c.r.notEmpty(path, len(routes))
	if !c.r.given(path) {
		return
	}
	names := map[string]string{}
	for i, route := range routes {
		at := index(path, i)
		c.r.uniqueName(join(at, "Name"), route.Name, names)
		if c.r.given(join(at, "Repeatable")) && !route.Repeatable && !route.Single {
			c.r.faultAt(join(at, "Repeatable"), "a route that is not Repeatable must be Single")
		}
	}
}

// checkServiceLimits checks the numbers of a service.
func (c *documentCheck) checkServiceLimits(path string, s tiller.Service) {
	within(c.r, join(path, "NeededCoverage"), s.NeededCoverage, 0, 1)
	within(c.r, join(path, "DeadlineMillis"), s.DeadlineMillis, 1, maxDeadline)
	within(c.r, join(path, "StragglerMillis"), s.StragglerMillis, 0, stragglerBound(s))
	within(c.r, join(path, "Limit"), s.Limit, 1, maxItems)
	within(c.r, join(path, "QueueLimit"), s.QueueLimit, 1, maxQueue)
	within(c.r, join(path, "HedgePercent"), s.HedgePercent, 0, maxPercent)
	within(c.r, join(path, "RetryPercent"), s.RetryPercent, 0, maxPercent)
}

// stragglerBound returns the greatest wait for stragglers that s allows.
func stragglerBound(s tiller.Service) tiller.Millis {
	if s.DeadlineMillis < 1 {
		return maxDeadline
	}
	return s.DeadlineMillis
}

// checkCurrent checks that the current snapshot exists.
func (c *documentCheck) checkCurrent(path string, s tiller.Service) {
	current := join(path, "Current")
	if !c.r.text(current, s.Current) || !c.r.given(join(path, "Snapshots")) {
		return
	}
	if _, ok := s.Snapshot(s.Current); !ok {
		c.r.faultAt(current, "no snapshot is called %s", quoted(s.Current))
	}
}

// checkPlacement checks that at least one upstream of the service is in a known failure domain.
func (c *documentCheck) checkPlacement(path string, s tiller.Service) {
	checkable := c.r.given("Domains") && c.r.given("Upstreams") && c.r.given(join(path, "Snapshots"))
	if !checkable || c.isPlaced(s) {
		return
	}
	c.r.faultAt(path, "the service has no upstream in a known failure domain")
}

// isPlaced says whether an upstream of s is in a known failure domain.
func (c *documentCheck) isPlaced(s tiller.Service) bool {
	for _, snapshot := range s.Snapshots {
		for _, shard := range snapshot.Shards {
			for _, name := range shard.Upstreams {
				if c.domains[c.upstreams[name]] {
					return true
				}
			}
		}
	}
	return false
}
