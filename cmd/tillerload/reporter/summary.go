package reporter

import (
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Summary is the report of a load.
type Summary struct {
	// Target is the deployment of the embedded fleet, or "addresses".
	Target string
	Seed   uint64
	Fault  string
	// Total covers the whole load after the warm-up, without poison requests.
	Total Part
	// Phases are the times before, during and after the fault; empty without one.
	Phases     []Part `json:",omitempty"`
	Violations Violations
	// Upstreams are the counts of the fakes; nil when the daemons run elsewhere.
	Upstreams *Upstreams `json:",omitempty"`
}

// Part holds the figures of a stretch of time. Queries count by their intended start.
type Part struct {
	Name    string
	Seconds float64
	Offered int
	// OfferedPerSecond counts queries, AchievedPerSecond answers, GoodputPerSecond answers within the deadline.
	OfferedPerSecond  float64
	AchievedPerSecond float64
	GoodputPerSecond  float64
	// Latency is that of answers, from the intended start.
	Latency Latency
	// SendLagP99Millis is how late queries were sent; a great one means that the load generator was short of time.
	SendLagP99Millis float64
	Coverage         Coverage
	Load             Load
	Refusals         []RefusalCount
	// Lost counts the queries without a reply by cause.
	Lost  map[string]int
	Kinds []KindPart
}

// Latency holds quantiles in milliseconds.
type Latency struct {
	P50Millis  float64
	P90Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}

// Coverage is that of the answers.
type Coverage struct {
	// WholeShare is the share of answers without a missing shard, Mean the mean share of answered shards.
	WholeShare float64
	Mean       float64
}

// RefusalCount is a number of refusals.
type RefusalCount struct {
	Verdict string
	Reason  string
	Count   int
}

// KindPart holds the figures of one kind of query.
type KindPart struct {
	Kind     planner.Kind
	Offered  int
	Answered int
	Latency  Latency
}

// Violations are the breaches of invariants.
type Violations struct {
	Total  int
	Counts map[inspector.Invariant]int
	// First are the first ones in full.
	First []inspector.Violation
	// NotChecked says which checks were not possible and why.
	NotChecked []string `json:",omitempty"`
}

// Upstreams are sums over the counts of the fake upstreams, with the warm-up.
type Upstreams struct {
	Run       int
	Shed      int
	Crashes   int
	Cancelled int
	TimedOut  int
}
