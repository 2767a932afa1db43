package assembler

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/dialer"
	"github.com/carawaytiller/carawaytiller/router"
)

// dialTargets returns the upstreams of a document as targets for the dialer. Each target has the number of
// connections that one unit may have to the upstream.
func dialTargets(doc *tiller.Document) []dialer.Target {
	owners := ownersPerUpstream(doc)
	out := make([]dialer.Target, len(doc.Upstreams))
	for i, u := range doc.Upstreams {
		n := u.Connections / max(owners[u.Name], 1)
		out[i] = dialer.Target{Name: u.Name, Address: u.Address, Connections: n}
	}
	return out
}

// ownersPerUpstream returns for each upstream name the greatest number of units among the services that use it.
func ownersPerUpstream(doc *tiller.Document) map[string]int {
	byName := make(map[string]tiller.Upstream, len(doc.Upstreams))
	for _, u := range doc.Upstreams {
		byName[u.Name] = u
	}
	owners := make(map[string]int, len(doc.Upstreams))
	for _, s := range doc.Services {
		used := upstreamsOf(s, byName)
		n := router.UnitCount(used, doc.Seats)
		for _, u := range used {
			owners[u.Name] = max(owners[u.Name], n)
		}
	}
	return owners
}

// upstreamsOf returns the upstreams that hold a shard of any snapshot of a service, each once.
func upstreamsOf(s tiller.Service, byName map[string]tiller.Upstream) []tiller.Upstream {
	var used []tiller.Upstream
	seen := make(map[string]bool)
	for _, n := range s.Snapshots {
		for _, sh := range n.Shards {
			for _, name := range sh.Upstreams {
				if u, ok := byName[name]; ok && !seen[name] {
					seen[name] = true
					used = append(used, u)
				}
			}
		}
	}
	return used
}
