package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// slotsPerOwner is the number of slots of an upstream from which a further owner pays: below it
	// the parts of the upstream are so small that some of them are idle while others queue.
	slotsPerUnit = 8
	// connectionsPerOwner leaves an owner room for a second connection that probes a silent one.
	connectionsPerUnit = 2
)

// UnitCount returns the number of units into which a service is divided, given its upstreams.
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

// UnitOf returns the index of the unit that takes a request.
func UnitOf(id tiller.RequestID, units int) int {
	return int(xxhash.Sum64String(string(id)) % uint64(max(units, 1)))
}

// ColdUnit returns the index of the unit that has the cold allowance of an upstream.
func ColdUnit(upstream string, units int) int {
	return int(xxhash.Sum64String(upstream) % uint64(max(units, 1)))
}

// Quota returns the part of n slots or connections of an upstream that the unit with the given index has.
// The parts of all units add up to n; the remainder goes first to the unit with the cold allowance.
func Quota(n int, upstream string, index, units int) int {
	units = max(units, 1)
	quota := n / units
	position := (index - ColdUnit(upstream, units) + units) % units
	if position < n%units {
		quota++
	}
	return quota
}

// Epoch identifies the voter sets of a document: it changes with the number of seats and with
// the names and regions of the failure domains, and with nothing else.
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

// HomeRegion returns the region of a service: the one it names, else the one with most of its
// upstreams, and of several such the first by name.
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
