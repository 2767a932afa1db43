package decoder

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// finalMoveStates lists the valid values of State. Each of them means that the move has ended.
var finalMoveStates = []string{string(tiller.MoveDone), string(tiller.MoveTakenBack)}

// checkMoves checks the moves, each of which shifts the traffic of a service from one version to another.
// It uses upstreamServices and servicePaths, so it must run after checkServices.
func (c *documentCheck) checkMoves() {
	for _, u := range c.doc.Upstreams {
		c.versions[serviceVersion{c.upstreamServices[u.Name], u.Version}] = true
	}
	names := map[string]string{}
	for i, m := range c.doc.Moves {
		path := indexPath("Moves", i)
		c.r.checkUniqueName(joinPath(path, "Name"), m.Name, names)
		c.checkMoveTimes(path, m)
		checkRange(c.r, joinPath(path, "CanaryPercent"), m.CanaryPercent, 1, maxCanaryPercent)
		if m.State != "" {
			c.r.checkOneOf(joinPath(path, "State"), string(m.State), finalMoveStates)
		}
		c.checkMoveVersions(path, m)
	}
}

// checkMoveTimes checks that a move starts no earlier than the Unix epoch and ends after its start.
func (c *documentCheck) checkMoveTimes(path string, m tiller.Move) {
	checkRange(c.r, joinPath(path, "StartAt"), m.StartAt, 0, math.MaxInt64)
	if c.r.decoded(joinPath(path, "StartAt")) {
		checkRange(c.r, joinPath(path, "FinishBy"), m.FinishBy, m.StartAt+1, math.MaxInt64)
	}
}

// checkMoveVersions checks the service and the versions of a move. The versions of an ended move need not exist,
// because the upstreams of one of them are removed after the move.
func (c *documentCheck) checkMoveVersions(path string, m tiller.Move) {
	fromOK := c.r.checkName(joinPath(path, "From"), m.From)
	toOK := c.r.checkName(joinPath(path, "To"), m.To)
	if fromOK && toOK && m.From == m.To {
		c.r.addFaultAt(joinPath(path, "To"), "same as From")
	}
	if !c.r.checkName(joinPath(path, "Service"), m.Service) || !c.r.decoded("Services") {
		return
	}
	service, known := c.servicePaths[m.Service]
	if !known {
		c.r.addFaultAt(joinPath(path, "Service"), "unknown service %s", quoted(m.Service))
		return
	}
	if m.State != "" || !c.r.decoded("Upstreams") {
		return
	}
	c.checkVersion(joinPath(path, "From"), service, m.From, fromOK)
	c.checkVersion(joinPath(path, "To"), service, m.To, toOK)
}

// checkVersion checks that the service at the path service has an upstream of the given version.
// It does nothing if valid is false, because the fault of the version field has been recorded already.
func (c *documentCheck) checkVersion(path, service, version string, valid bool) {
	if valid && !c.versions[serviceVersion{service, version}] {
		c.r.addFaultAt(path, "no upstream of the service has version %s", quoted(version))
	}
}
