package gatekeeper

import (
	"reflect"

	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

// Reload brings changed settings into force: the bounds of the fleet and the time to stop. Everything
// else, such as addresses and the place of the VM, holds until the process starts again.
func (g *Gatekeeper) Reload(s platform.Settings) {
	g.reloaded.Store(&s)
	g.executor.Step(gatherer.BoundsChanged{Bounds: s.Bounds})
	fixed := g.settings
	fixed.Bounds, fixed.StopWithin = s.Bounds, s.StopWithin
	g.log.Info("Settings reloaded", "Bounds", s.Bounds, "StopWithin", s.StopWithin, "RestartNeeded", !reflect.DeepEqual(fixed, s))
}
