package gatherer

import (
	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// coldSafePart is the part of the fleet's allowance for a cold upstream that is used. All daemons
// count together, and two views of the fleet may each choose other senders.
const coldSafetyFactor = 0.5

// coldAllowance is a token bucket for a cold upstream.
type coldAllowance struct {
	until  tiller.Millis
	tokens float64
	filled tiller.Millis
}

// coldReportMillis is the usual difference between the delays of two reports of an upstream: pauses between
// watches and the way over other daemons.
const coldReportMillis = 1 * tiller.Second

// coldUntil returns the time until which an upstream is cold that reports a rest, where known is the end
// that followed from its last report of knownRest. Reports arrive late, so the earliest end holds. A rest
// that grew, is left after the known end or ends far later means that the upstream has become cold again.
func coldUntil(now, knownEnd, knownRemaining, remaining tiller.Millis) tiller.Millis {
	end := now + remaining
	switch {
	case remaining <= 0:
		return 0
	case remaining < knownRemaining && now < knownEnd && end <= knownEnd+coldReportMillis:
		return min(knownEnd, end)
	default:
		return max(knownEnd, end)
	}
}

// allows says whether one more request may be sent at a rate of perSecond with at most one at once.
func (c *coldAllowance) allows(now tiller.Millis, perSecond float64) bool {
	if c.filled == 0 {
		c.tokens = 1
	} else {
		c.tokens = min(c.tokens+float64(now-c.filled)/1000*perSecond, 1)
	}
	c.filled = now
	return c.tokens >= 1
}

// admitsCold says whether this daemon may send to an upstream now. Few daemons send to a cold
// upstream, so that each has a whole request per second.
func (s *State) admitsCold(now tiller.Millis, u *upstream) bool {
	if now >= u.cold.until {
		return true
	}
	perSecond := coldSafetyFactor * s.settings.Bounds.ColdSlack
	if s.configuration != nil {
		perSecond += coldSafetyFactor * s.settings.Bounds.ColdOverage * s.configuration.Service(u.Service).WarmupPerSecond
	}
	senders := min(max(int(perSecond/2), 1), max(s.fleet.size, 1))
	if s.rankFor(u.ID) >= senders {
		return false
	}
	return u.cold.allows(now, max(perSecond/float64(senders)-1, 0))
}

// rankFor returns the place of this daemon among the fleet's daemons for a key, 0 for the first.
func (s *State) rankFor(key string) int {
	own := rendezvousWeight(s.settings.VM, key)
	rank := 0
	for _, p := range s.peers {
		if rendezvousWeight(p.VM, key) > own {
			rank++
		}
	}
	return rank
}

// rendezvous returns the weight of a daemon for a key; the daemon with the greatest weight is first.
func rendezvousWeight(vm, key string) uint64 { return xxhash.Sum64String(vm + "\x00" + key) }

// isUsable says whether new work may go to an upstream, its cold allowance left aside.
func (s *State) isUsable(u *upstream, r cataloger.Route) bool {
	return !u.Draining && !u.misdirected && !s.evacuated[u.Domain] && r.Allows(u.Region)
}
