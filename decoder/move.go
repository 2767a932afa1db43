package decoder

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

// moveStates lists the values of State that end a move.
var moveStates = []string{string(tiller.MoveDone), string(tiller.MoveTakenBack)}

// checkMoves checks the shifts of traffic between versions.
func (c *documentCheck) checkMoves() {
	for _, u := range c.doc.Upstreams {
		c.versions[serviceVersion{c.serves[u.Name], u.Version}] = true
	}
	names := map[string]string{}
	for i, m := range c.doc.Moves {
		path := index("Moves", i)
		c.r.uniqueName(join(path, "Name"), m.Name, names)
		c.checkMoveTimes(path, m)
		within(c.r, join(path, "CanaryPercent"), m.CanaryPercent, 1, maxCanaryPercent)
		if m.State != "" {
			c.r.oneOf(join(path, "State"), string(m.State), moveStates)
		}
		c.checkMoveVersions(path, m)
	}
}

// checkMoveTimes checks that a move ends after its start.
func (c *documentCheck) checkMoveTimes(path string, m tiller.Move) {
	within(c.r, join(path, "StartAt"), m.StartAt, 0, math.MaxInt64)
	if c.r.given(join(path, "StartAt")) {
		within(c.r, join(path, "FinishBy"), m.FinishBy, m.StartAt+1, math.MaxInt64)
	}
}

// checkMoveVersions checks service and versions of a move. The versions of a move that has ended need not exist,
// because the upstreams of one of them are removed then.
func (c *documentCheck) checkMoveVersions(path string, m tiller.Move) {
	fromOK := c.r.text(join(path, "From"), m.From)
	toOK := c.r.text(join(path, "To"), m.To)
	if fromOK && toOK && m.From == m.To {
		c.r.faultAt(join(path, "To"), "same as From")
	}
	if !c.r.text(join(path, "Service"), m.Service) || !c.r.given("Services") {
		return
	}
	service, known := c.services[m.Service]
	if !known {
		c.r.faultAt(join(path, "Service"), "unknown service %s", quoted(m.Service))
		return
	}
	if m.State != "" || !c.r.given("Upstreams") {
		return
	}
	c.checkVersion(join(path, "From"), service, m.From, fromOK)
	c.checkVersion(join(path, "To"), service, m.To, toOK)
}

// checkVersion checks that the service at the path service has an upstream of a version, when the version is sound.
func (c *documentCheck) checkVersion(path, service, version string, sound bool) {
	if sound && !c.versions[serviceVersion{service, version}] {
		c.r.faultAt(path, "no upstream of the service has version %s", quoted(version))
	}
}
