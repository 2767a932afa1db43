package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/hedger"
)

const (
	// fleetHoldMillis is the time for which daemons that disappeared still count when allowances
	// are shared: their entries lapse while the store is away, although they live.
	fleetHoldMillis = 30 * tiller.Second
	// safePart is the part of an allowance of the whole fleet that is used, because the daemons'
	// windows and views of the fleet differ.
	safetyFactor = 0.8
)

// fleet is the number of daemons that share the allowances of the whole fleet.
type fleet struct {
	size  int
	since tiller.Millis
}

// with returns the fleet when n daemons are known at a time. It grows at once and shrinks late.
func (f fleet) with(now tiller.Millis, n int) fleet {
	if n >= f.size || now-f.since >= fleetHoldMillis {
		return fleet{size: n, since: now}
	}
	return f
}

// share returns one daemon's part of an allowance of the whole fleet.
func (f fleet) share(allowance float64) float64 {
	return allowance * safetyFactor / float64(max(f.size, 1))
}

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
}

// changeBounds brings other bounds of the fleet into force. Budgets keep what they have gained so
// far, up to their new limits.
func (s *State) updateBounds(b cataloger.Bounds) {
	s.settings.Bounds = b
	s.shareBudgets()
}

// shareBudgets sets the budgets of further requests to this daemon's part of the fleet's.
func (s *State) shareBudgets() {
	for service, b := range s.budgets {
		s.budgets[service] = b.WithPercent(s.retryPercent()).WithBurst(s.burst(service))
	}
}

// retryPercent returns the number of extra requests per 100 first ones that this daemon may send.
func (s *State) retryPercent() int { return int(s.settings.Bounds.RetryRatio * safetyFactor * 100) }

// gathererPart is the part of a large fleet's slack that the daemons share that gather a shard
// near its upstreams; the others ask it themselves only when those fail.
const gathererSlackShare = 0.5

// burst returns the number of extra requests that this daemon may send to a service at once.
func (s *State) burst(service string) int {
	if s.isGrouped(service) && s.isGatherer(service, s.groupCountOf(service)) {
		return max(int(s.settings.Bounds.RetrySlack*gathererSlackShare)/max(gatherersPerGroup*len(s.upstreamsByService[service]), 1), 1)
	}
	return max(int(s.fleet.share(s.settings.Bounds.RetrySlack)), 1)
}

// budget returns the extra requests that this daemon may send to a service. A new budget starts
// half full, because the daemon may have sent some before a restart.
func (s *State) budget(service string) hedger.Budget {
	b, ok := s.budgets[service]
	if !ok {
		burst := s.burst(service)
		b = hedger.NewBudget(s.retryPercent(), burst).WithGain((burst + 1) / 2)
	}
	return b
}
