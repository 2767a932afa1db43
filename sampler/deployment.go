package sampler

import (
	tiller "github.com/carawaytiller/carawaytiller"
)

// The names of the deployments.
const (
	// Guild is the deployment of a guild of caterers, with recipes, allergens and labels. Its priority is tail latency.
	Guild = "Guild"
	// Lochan is the deployment of a union, with agreements and their clauses. Its priority is coverage.
	Lochan = "Lochan"
)

// Names of the snapshots. In a service with two snapshots, the newer one is current.
const (
	olderSnapshot = "2026-03-01"
	newerSnapshot = "2026-03-08"
)

// deployment describes one deployment, as in the table of deployments in docs/design.md.
type deployment struct {
	region  string
	domains []string
	groups  []serviceGroup
	waitFor tiller.WaitFor
	// coverage is the needed coverage of every service.
	coverage float64
}

// serviceGroup describes a group of services with the same configuration.
type serviceGroup struct {
	name string
	// count is the number of services. If it is 1, the name of the service is that of the group, without a number.
	count     int
	upstreams int
	slots     int
	// connections is the number of connections that each upstream accepts.
	// connectMillis is the time to open one connection.
	connections   int
	connectMillis tiller.Millis
	coldSlots     int
	// shards holds the number of shards of each snapshot, oldest first.
	shards []int
	routes []tiller.Route
	// content generates the content of the records.
	content contentFunc
	// records is the number of records of each service in its oldest snapshot.
	records int
}

var (
	searchRoutes = []tiller.Route{{Name: "search", Repeatable: true}}
	// searchAndPrintRoutes has a route that must run at most once: it prints a label on paper.
	searchAndPrintRoutes = []tiller.Route{{Name: "search", Repeatable: true}, {Name: "print", Single: true}}
)

// deployments holds the deployments, keyed by name.
var deployments = map[string]deployment{
	Guild: {
		region:   "british-columbia",
		domains:  []string{"Burnaby", "Kelowna", "Nanaimo"},
		waitFor:  tiller.WaitForTail,
		coverage: 0.75,
		groups: []serviceGroup{
			reindexedGroup("recipe-desk", newRecipe),
			singleSnapshotGroup("costing-ledger", newRecipe),
			{
				name: "label-printer", count: 1, upstreams: 9, slots: 3, connections: 40, connectMillis: 1,
				coldSlots: 1, shards: []int{12}, routes: searchAndPrintRoutes, content: newLabel, records: 96,
			},
			{
				name: "audit-archive", count: 1, upstreams: 4, slots: 3, connections: 40, connectMillis: 1,
				coldSlots: 1, shards: []int{12, 16}, routes: searchRoutes, content: newLabel, records: 96,
			},
		},
	},
	Lochan: {
		region:   "scotland",
		domains:  []string{"Glasgow", "Edinburgh", "Aberdeen"},
		waitFor:  tiller.WaitForCoverage,
		coverage: 0.9,
		groups: []serviceGroup{
			reindexedGroup("casework-desk", newAgreement),
			singleSnapshotGroup("dues-ledger", newAgreement),
			{
				name: "case-files", count: 1, upstreams: 4, slots: 6, connections: 110, connectMillis: 1,
				coldSlots: 2, shards: []int{12, 16}, routes: searchRoutes, content: newAgreement, records: 96,
			},
			{
				name: "bulletin", count: 1, upstreams: 3, slots: 6, connections: 110, connectMillis: 1,
				coldSlots: 2, shards: []int{8}, routes: searchRoutes, content: newAgreement, records: 96,
			},
		},
	},
}

// reindexedGroup returns a group of 20 small services whose index was split again: the older snapshot has 4 shards
// and the newer one has 6.
func reindexedGroup(name string, c contentFunc) serviceGroup {
	g := smallGroup(name, c)
	g.count = 20
	g.shards = []int{4, 6}
	return g
}

// singleSnapshotGroup returns a group of 30 small services with one snapshot.
func singleSnapshotGroup(name string, c contentFunc) serviceGroup {
	g := smallGroup(name, c)
	g.count = 30
	g.shards = []int{4}
	return g
}

// smallGroup returns a group of services, each with two upstreams of two slots. The caller sets count and shards.
func smallGroup(name string, c contentFunc) serviceGroup {
	return serviceGroup{
		name: name, upstreams: 2, slots: 2, connections: 25, connectMillis: 6,
		coldSlots: 1, routes: searchRoutes, content: c, records: 24,
	}
}
