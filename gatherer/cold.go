package gatherer

import (
	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// coldSafetyFactor is the part of the fleet's allowance for a cold upstream that is used. The requests of all
// daemons count together, and daemons with different views of the fleet may choose different senders.
const coldSafetyFactor = 0.5

// coldAllowance is the token bucket for requests to a cold upstream.
type coldAllowance struct {
	// until is the time until which the upstream is cold.
	until  tiller.Millis
	tokens float64
	// filled is the time of the last refill; 0 before the first.
	filled tiller.Millis
}

// coldReportMillis is the usual difference between the delays of two reports of an upstream. It comes from
// pauses between watches and from forwarding by other daemons.
const coldReportMillis = 1 * tiller.Second

// coldUntil returns the time until which an upstream is cold. remaining is the cold time that it reports now;
// knownEnd is the end that follows from its previous report of knownRemaining. Reports arrive late, so the
// earliest end applies. The upstream has become cold again if remaining grew, if the report comes after
// knownEnd or if its end is more than coldReportMillis after knownEnd; then the latest end applies.
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

// allows refills the bucket at perSecond tokens per second, up to one token, and reports whether it holds one.
func (c *coldAllowance) allows(now tiller.Millis, perSecond float64) bool {
	if c.filled == 0 {
		c.tokens = 1
	} else {
		c.tokens = min(c.tokens+float64(now-c.filled)/1000*perSecond, 1)
	}
	c.filled = now
	return c.tokens >= 1
}

// admitsCold reports whether this daemon may send to an upstream now, given its cold allowance. Only a few
// daemons send to a cold upstream, so that the share of each is not a fraction of a request per second.
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

// rankFor returns the rank of this daemon for a key by rendezvous hashing, 0 for the first.
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

// rendezvousWeight returns the rendezvous hash of a daemon for a key. The daemon with the greatest is first.
func rendezvousWeight(vm, key string) uint64 { return xxhash.Sum64String(vm + "\x00" + key) }

// isUsable reports whether new requests may go to an upstream, apart from its cold allowance.
func (s *State) isUsable(u *upstream, r cataloger.Route) bool {
	return !u.Draining && !u.leaving && !u.misdirected && !s.evacuated[u.Domain] && r.Allows(u.Region)
}
