package decoder

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// checkSnapshots checks the snapshots of the service at the path service.
func (c *documentCheck) checkSnapshots(path, service string, snapshots []tiller.Snapshot) {
	c.r.notEmpty(path, len(snapshots))
	names := map[string]string{}
	for i, s := range snapshots {
		at := index(path, i)
		c.r.uniqueName(join(at, "Name"), s.Name, names)
		c.checkShards(join(at, "Shards"), service, s.Shards)
	}
}

// checkShards checks the shards of a snapshot.
func (c *documentCheck) checkShards(path, service string, shards []tiller.Shard) {
	c.r.notEmpty(path, len(shards))
	names := map[string]string{}
	for i, s := range shards {
		at := index(path, i)
		c.r.uniqueName(join(at, "Name"), s.Name, names)
		c.checkReplicas(join(at, "Upstreams"), service, s.Upstreams)
	}
}

// checkReplicas checks the upstreams of a shard.
func (c *documentCheck) checkReplicas(path, service string, upstreams []string) {
	c.r.notEmpty(path, len(upstreams))
	names := map[string]string{}
	for i, name := range upstreams {
		at := index(path, i)
		if !c.r.text(at, name) {
			continue
		}
		c.r.unique(at, name, names)
		c.checkReplica(at, service, name)
	}
}

// checkReplica checks that an upstream is known and serves one service only. The slots of an upstream
// are divided among the units of one service, so two services would exceed them.
func (c *documentCheck) checkReplica(path, service, name string) {
	if !c.r.given("Upstreams") {
		return
	}
	if _, ok := c.upstreams[name]; !ok {
		c.r.faultAt(path, "unknown upstream %s", quoted(name))
		return
	}
	other, used := c.serves[name]
	switch {
	case !used:
		c.serves[name] = service
	case other != service:
		c.r.faultAt(path, "upstream %s already serves %s; an upstream serves one service", quoted(name), other)
	}
}
