package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/hedger"
)

const (
	// fleetHoldMillis is the time for which daemons that disappeared still count when allowances are shared.
	// Their entries expire during a store outage although they are running.
	fleetHoldMillis = 30 * tiller.Second
	// safetyFactor is the part of a fleet-wide allowance that is used, because the daemons' time windows and
	// views of the fleet differ.
	safetyFactor = 0.8
)

// fleet holds the number of daemons that share the fleet-wide allowances.
type fleet struct {
	size int
	// since is the last time at which at least size daemons were known.
	since tiller.Millis
}

// with returns the fleet when n daemons are known. It grows at once, and shrinks only when fewer daemons have
// been known for fleetHoldMillis.
func (f fleet) with(now tiller.Millis, n int) fleet {
	if n >= f.size || now-f.since >= fleetHoldMillis {
		return fleet{size: n, since: now}
	}
	return f
}

// share returns one daemon's part of a fleet-wide allowance.
func (f fleet) share(allowance float64) float64 {
	return allowance * safetyFactor / float64(max(f.size, 1))
}

// updateMembers replaces the known daemons. A daemon that was restarted or has a new address starts without
// measurements.
func (s *State) updateMembers(now tiller.Millis, members []cataloger.Member) {
	s.fleet = s.fleet.with(now, len(members))
	peers := make(map[string]*peer, len(members))
	byRegion := make(map[string][]*peer)
	for _, m := range members {
		if m.VM == s.settings.VM {
			continue
		}
		p, ok := s.peers[m.VM]
		if !ok || p.Incarnation != m.Incarnation || p.Address != m.Address {
			p = &peer{stat: balancer.New(), rtt: farRTTMillis}
			if m.Region == s.settings.Region {
				p.rtt = nearRTTMillis
			}
		}
		p.Member = m
		peers[m.VM] = p
		byRegion[m.Region] = append(byRegion[m.Region], p)
	}
	s.peers, s.peersByRegion = peers, byRegion
	s.gatherersByGroup = make(map[groupKey][]*peer)
	s.shareBudgets()
	if s.awaitsFirstReport() {
		s.scheduleBackground(now + firstReportMillis)
	}
}

// updateBounds replaces the fleet-wide bounds. Budgets keep their current balance, up to the new limits.
func (s *State) updateBounds(b cataloger.Bounds) {
	s.settings.Bounds = b
	s.shareBudgets()
}

// shareBudgets adjusts the retry budgets to this daemon's share of the fleet-wide bounds.
func (s *State) shareBudgets() {
	for service, b := range s.budgets {
		s.budgets[service] = b.WithPercent(s.retryPercent()).WithBurst(s.burst(service))
	}
}

// retryPercent returns the number of extra requests that this daemon may send per 100 first ones.
func (s *State) retryPercent() int { return int(s.settings.Bounds.RetryRatio * safetyFactor * 100) }

// gathererSlackShare is the part of RetrySlack that the gatherers of a shard share in a large fleet. Other
// daemons request the shard themselves only when its gatherers fail.
const gathererSlackShare = 0.5

// burst returns the number of extra requests to a service that this daemon may send at once.
func (s *State) burst(service string) int {
	if s.isGrouped(service) && s.isGatherer(service, s.groupCountOf(service)) {
		return max(int(s.settings.Bounds.RetrySlack*gathererSlackShare)/max(gatherersPerGroup*len(s.upstreamsByService[service]), 1), 1)
	}
	return max(int(s.fleet.share(s.settings.Bounds.RetrySlack)), 1)
}

// budget returns the retry budget for a service. A new budget starts half full, because the daemon may have
// sent extra requests before a restart.
func (s *State) budget(service string) hedger.Budget {
	b, ok := s.budgets[service]
	if !ok {
		burst := s.burst(service)
		b = hedger.NewBudget(s.retryPercent(), burst).WithGain((burst + 1) / 2)
	}
	return b
}
