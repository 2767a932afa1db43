package gatekeeper

import (
	"reflect"

	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

// Reload applies changed settings: the bounds of the fleet and the time to stop. All others, such as
// addresses and the location of the VM, take effect only when the process restarts.
func (g *Gatekeeper) Reload(s platform.Settings) {
	g.current.Store(&s)
	g.executor.Step(gatherer.BoundsChanged{Bounds: s.Bounds})
	fixed := g.settings
	fixed.Bounds, fixed.StopWithin = s.Bounds, s.StopWithin
	g.log.Info("Settings reloaded", "Bounds", s.Bounds, "StopWithin", s.StopWithin, "RestartNeeded", !reflect.DeepEqual(fixed, s))
}
