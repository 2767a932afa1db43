package sampler

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	seats = 8
	// replicas is the number of upstreams that hold each shard. They are in different failure domains.
	replicas = 2
	// domainsPerDeployment is the number of failure domains of each deployment.
	domainsPerDeployment = 3
)

// Document returns the document of a deployment, Guild or Lochan, with revision 1 for the environment "production".
// addressOf returns the address of an upstream; Document calls it once per upstream, in the order of the document.
// Document returns nil for an unknown deployment.
func Document(deployment string, addressOf func(upstream string) string) *tiller.Document {
	d, ok := deployments[deployment]
	if !ok {
		return nil
	}
	doc := &tiller.Document{Environment: "production", Revision: 1, Seats: seats}
	for _, name := range d.domains {
		doc.Domains = append(doc.Domains, tiller.Domain{Name: name, Region: d.region})
	}
	for _, s := range d.services() {
		doc.Upstreams = append(doc.Upstreams, s.upstreams(addressOf)...)
		doc.Services = append(doc.Services, s.service())
	}
	return doc
}

// serviceSample describes one service of a deployment.
type serviceSample struct {
	deployment deployment
	group      serviceGroup
	name       string
	// ordinal is the index of the service in the deployment, from 0.
	ordinal int
}

// services returns the services of d in document order.
func (d deployment) services() []serviceSample {
	var out []serviceSample
	for _, g := range d.groups {
		for i := range g.count {
			out = append(out, serviceSample{deployment: d, group: g, name: g.serviceName(i), ordinal: len(out)})
		}
	}
	return out
}

// serviceName returns the name of service i of the group, counted from 0.
func (g serviceGroup) serviceName(i int) string {
	if g.count == 1 {
		return g.name
	}
	return fmt.Sprintf("%s-%02d", g.name, i+1)
}

// upstreamName returns the name of upstream k of the service, counted from 0.
func (s serviceSample) upstreamName(k int) string {
	return fmt.Sprintf("%s-%d", s.name, k+1)
}

// domain returns the failure domain of upstream k. The upstreams of a service form a ring in which adjacent upstreams are
// in different failure domains. A shard on two adjacent upstreams therefore survives the loss of one failure domain.
func (s serviceSample) domain(k int) string {
	step := k % domainsPerDeployment
	if k > 0 && k == s.group.upstreams-1 && step == 0 {
		step = 1
	}
	return s.deployment.domains[(s.ordinal+step)%domainsPerDeployment]
}

// upstreams returns the upstreams of the service.
func (s serviceSample) upstreams(addressOf func(upstream string) string) []tiller.Upstream {
	out := make([]tiller.Upstream, s.group.upstreams)
	for k := range out {
		out[k] = tiller.Upstream{
			Name:          s.upstreamName(k),
			Address:       addressOf(s.upstreamName(k)),
			Domain:        s.domain(k),
			Version:       "1.0.0",
			Slots:         s.group.slots,
			Connections:   s.group.connections,
			ConnectMillis: s.group.connectMillis,
			ColdSlots:     s.group.coldSlots,
		}
	}
	return out
}

// service returns the service with its snapshots. The newest snapshot is current.
func (s serviceSample) service() tiller.Service {
	out := tiller.Service{
		Name:            s.name,
		Region:          s.deployment.region,
		Routes:          s.group.routes,
		WaitFor:         s.deployment.waitFor,
		NeededCoverage:  s.deployment.coverage,
		StragglerMillis: 20,
		DeadlineMillis:  2 * tiller.Second,
		Limit:           10,
		QueueLimit:      1000,
		HedgePercent:    5,
		RetryPercent:    10,
	}
	for i, n := range s.group.shards {
		out.Snapshots = append(out.Snapshots, s.snapshot(snapshotName(i), n))
		out.Current = snapshotName(i)
	}
	return out
}

// snapshotName returns the name of snapshot i of a service, oldest first.
func snapshotName(i int) string {
	return []string{olderSnapshot, newerSnapshot}[i]
}

// snapshot returns a snapshot of n shards, each on two adjacent upstreams of the ring.
func (s serviceSample) snapshot(name string, n int) tiller.Snapshot {
	out := tiller.Snapshot{Name: name, Shards: make([]tiller.Shard, n)}
	for i := range out.Shards {
		out.Shards[i].Name = shardName(i)
		for r := range replicas {
			out.Shards[i].Upstreams = append(out.Shards[i].Upstreams, s.upstreamName((i+r)%s.group.upstreams))
		}
	}
	return out
}

// shardName returns the name of shard i of a snapshot, counted from 0.
func shardName(i int) string {
	return fmt.Sprintf("shard-%02d", i+1)
}
