package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// slotsPerUnit is the minimum number of slots per unit and upstream for a service to have several units.
	// With smaller quotas, requests queue in one unit while the slots of another are idle.
	slotsPerUnit = 8
	// connectionsPerUnit is the minimum number of connections per unit and upstream for a service to have several units.
	// The second connection lets the owner probe an upstream whose first connection does not respond.
	connectionsPerUnit = 2
)

// UnitCount returns the number of units into which a service with the given upstreams is divided. It is at
// least 1, at most the number of seats, and bounded by the upstreams with the fewest slots and connections.
func UnitCount(upstreams []tiller.Upstream, seats int) int {
	if len(upstreams) == 0 {
		return 1
	}
	slots, connections := upstreams[0].Slots, upstreams[0].Connections
	for _, u := range upstreams {
		slots = min(slots, u.Slots)
		connections = min(connections, u.Connections)
	}
	units := min(slots/slotsPerUnit, connections/connectionsPerUnit)
	return max(min(units, seats), 1)
}

// UnitOf returns the index of the unit that handles a request.
func UnitOf(id tiller.RequestID, units int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(units, 1)))
}

// ColdUnit returns the index of the only unit that may send requests to an upstream during its cold start.
func ColdUnit(upstream string, units int) int {
	return int(xxhash.Sum64String(upstream) % uint64(max(units, 1)))
}

// Quota returns how many of an upstream's n slots or connections the unit with the given index may use.
// The quotas of all units add up to n and differ by at most 1. The remainder of the division is given to
// the upstream's ColdUnit and the units that follow it.
func Quota(n int, upstream string, index, units int) int {
	units = max(units, 1)
	quota := n / units
	position := (index - ColdUnit(upstream, units) + units) % units
	if position < n%units {
		quota++
	}
	return quota
}

// Epoch returns a hash that identifies the voter sets of a document. It depends only on the number of seats
// and on the names, regions and order of the failure domains.
func Epoch(d *tiller.Document) uint64 {
	h := xxhash.New()
	writeInt(h, d.Seats)
	for _, domain := range d.Domains {
		writeInt(h, len(domain.Name))
		_, _ = h.WriteString(domain.Name)
		writeInt(h, len(domain.Region))
		_, _ = h.WriteString(domain.Region)
	}
	return h.Sum64()
}

// HomeRegion returns the home region of a service: the configured one, or else the region with the most
// of its upstreams. Of several such regions it returns the first by name.
func HomeRegion(s tiller.Service, upstreams []tiller.Upstream, regionOf func(domain string) string) string {
	if s.Region != "" {
		return s.Region
	}
	counts := make(map[string]int)
	for _, u := range upstreams {
		counts[regionOf(u.Domain)]++
	}
	home := ""
	for region, n := range counts {
		if n > counts[home] || n == counts[home] && region < home {
			home = region
		}
	}
	return home
}

func unitHash(service string, index int) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	writeInt(h, index)
	return h.Sum64()
}

func writeInt(h *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
