package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// checkSnapshots checks the snapshots of the service at the path service.
func (c *documentCheck) checkSnapshots(path, service string, snapshots []tiller.Snapshot) {
	c.r.checkNotEmpty(path, len(snapshots))
	names := map[string]string{}
	for i, s := range snapshots {
		at := indexPath(path, i)
		c.r.checkUniqueName(joinPath(at, "Name"), s.Name, names)
		c.checkShards(joinPath(at, "Shards"), service, s.Shards)
	}
}

// checkShards checks the shards of a snapshot.
func (c *documentCheck) checkShards(path, service string, shards []tiller.Shard) {
	c.r.checkNotEmpty(path, len(shards))
	names := map[string]string{}
	for i, s := range shards {
		at := indexPath(path, i)
		c.r.checkUniqueName(joinPath(at, "Name"), s.Name, names)
		c.checkReplicas(joinPath(at, "Upstreams"), service, s.Upstreams)
	}
}

// checkReplicas checks the upstreams of a shard.
func (c *documentCheck) checkReplicas(path, service string, upstreams []string) {
	c.r.checkNotEmpty(path, len(upstreams))
	names := map[string]string{}
	for i, name := range upstreams {
		at := indexPath(path, i)
		if !c.r.checkName(at, name) {
			continue
		}
		c.r.checkUnique(at, name, names)
		c.checkReplica(at, service, name)
	}
}

// checkReplica checks that an upstream is known and used by one service only. The slots of an upstream
// are divided among the units of one service, so two services together would exceed them.
func (c *documentCheck) checkReplica(path, service, name string) {
	if !c.r.decoded("Upstreams") {
		return
	}
	if _, ok := c.upstreamDomains[name]; !ok {
		c.r.addFaultAt(path, "unknown upstream %s", quoted(name))
		return
	}
	other, used := c.upstreamServices[name]
	switch {
	case !used:
		c.upstreamServices[name] = service
	case other != service:
		c.r.addFaultAt(path, "upstream %s already serves %s; an upstream serves one service", quoted(name), other)
	}
}
