package conductor

import (
	"fmt"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
)

// compare checks what the fake upstreams saw and returns the checks that were not possible.
func (c *Conductor) compare() []string {
	if c.fleet == nil {
		return []string{"NotRun, RunOnce, ColdSlots, Slots and DomainOut, because the upstreams are not embedded"}
	}
	var notChecked []string
	runs := map[string]int{}
	crashes := 0
	for name, u := range c.fleet.Upstreams("") {
		counts := u.Counts()
		inspector.Capacity(c.fleet.Settings(name), counts, c.log)
		crashes += counts.Crashes
		if counts.Unrecorded > 0 {
			notChecked = append(notChecked, fmt.Sprintf("NotRun and RunOnce for %d runs of %s, for lack of room", counts.Unrecorded, name))
		}
		for _, route := range []string{"search", "print"} {
			for id, n := range u.Runs(route) {
				runs[id] += n
			}
		}
	}
	if c.cfg.Fault.Name == injector.Poison {
		inspector.Poisoned(crashes, c.log)
	}
	c.ledger.Compare(runs, c.log)
	return notChecked
}

func (c *Conductor) summary(notChecked []string) reporter.Summary {
	s := reporter.Summary{
		Target: "addresses",
		Seed:   c.cfg.Seed,
		Fault:  string(c.cfg.Fault.Name),
		Violations: reporter.Violations{
			Total: c.log.Total(), Counts: c.log.Counts(), First: c.log.First(), NotChecked: notChecked,
		},
	}
	var parts []reporter.Part
	s.Total, parts = c.stages.parts()
	if c.cfg.Fault.Name != injector.None {
		s.Phases = parts
	}
	if c.fleet == nil {
		return s
	}
	s.Target = c.cfg.Deployment
	s.Upstreams = &reporter.Upstreams{}
	for _, u := range c.fleet.Upstreams("") {
		counts := u.Counts()
		s.Upstreams.Run += counts.Run
		s.Upstreams.Shed += counts.Shed
		s.Upstreams.Crashes += counts.Crashes
		s.Upstreams.Cancelled += counts.Cancelled
		s.Upstreams.TimedOut += counts.TimedOut
	}
	return s
}
