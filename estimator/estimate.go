package estimator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/syncer"
)

// Report is the result of Estimate.
type Report struct {
	Size    Size
	Queries []QueryCost
	Costs   []Cost
	// StoreReads and StoreWrites are calls per second to the store by all daemons together.
	StoreReads  float64
	StoreWrites float64
	// ConnectionsPerUpstream is the number of connections that an upstream gets from all owners.
	ConnectionsPerUpstream float64
}

// Estimate measures the unit costs on this machine and extrapolates them to size s. It takes several seconds.
func Estimate(s Size) Report {
	r := Report{Size: s}
	for _, fanOut := range []int{max(1, s.FanOut/10), s.FanOut} {
		at := s
		at.FanOut = fanOut
		r.Queries = append(r.Queries, measureQuery(at, 300))
	}
	r.Costs = []Cost{
		leaseCost(s),
		distributionCost(s),
		reducerDocumentCost(s),
		queryDecisionCost(s, r.Queries[1]),
	}
	r.StoreReads, r.StoreWrites = storeCalls(s)
	// Each unit of a service keeps one connection to each upstream of the service.
	r.ConnectionsPerUpstream = float64(s.Units) / float64(s.Services)
	return r
}

// storeCalls calculates the calls per second to the store: watches, seat claims of restarted daemons
// including the search for a free seat, renewals of seat leases, and accepted changes.
func storeCalls(s Size) (reads, writes float64) {
	const domains = 27
	const leaseRenewSeconds = 30 * 60
	const watchSeconds = 10
	restarts := s.RestartsPerDay / secondsPerDay
	changes := s.ChangesPerDay / secondsPerDay
	// A restarted daemon checks on average half of the seats of its failure domain before it finds a free one.
	probes := max(1, float64(s.Daemons)/domains/2)
	watchers := float64(min(syncer.WatcherCount, s.Daemons))
	reads = watchers/watchSeconds + watchers*changes + restarts*(probes+2) + changes
	// A claim writes the lease, the holder and the incarnation.
	writes = restarts*3 + float64(s.Daemons)/leaseRenewSeconds + changes
	return reads, writes
}

// Control returns the sum of the costs that count towards the budget for control.
func (r Report) Control() Cost {
	sum := Cost{Mechanism: "control together", Control: true}
	for _, c := range r.Costs {
		if c.Control {
			sum.CoreShare += c.CoreShare
			sum.Bytes += c.Bytes
			sum.BytesPerSecond += c.BytesPerSecond
			sum.MessagesPerSecond += c.MessagesPerSecond
		}
	}
	return sum
}

// Write writes the report to w as tables. It returns an error when writing to w fails.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d daemons, %d upstreams, %.0f queries/s to %d upstreams each\n\n", r.Size.Daemons, r.Size.Upstreams, r.Size.QueriesPerSecond, r.Size.FanOut)
	fmt.Fprintln(t, "mechanism\tof a core\tmemory\tB/s\tmessages/s\tslope")
	for _, c := range append(r.Costs, r.Control()) {
		fmt.Fprintf(t, "%s\t%.3f%%\t%.1f MB\t%.0f\t%.1f\t%s\n", c.Mechanism, c.CoreShare*100, c.Bytes/1e6, c.BytesPerSecond, c.MessagesPerSecond, c.Slope)
	}
	b := TargetBudget()
	fmt.Fprintf(t, "budget for control\t%.3f%%\t%.1f MB\t%.0f\t\t\n\n", b.CoreShare*100, b.Bytes/1e6, b.BytesPerSecond)
	fmt.Fprintln(t, "fan-out\tns\tallocations\tsteps\tfor each upstream request")
	for _, q := range r.Queries {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.2f\t\n", q.FanOut, q.Nanoseconds, q.Allocations, q.Steps)
	}
	fmt.Fprintf(t, "\nstore\t%.1f reads/s\t%.1f writes/s\n", r.StoreReads, r.StoreWrites)
	fmt.Fprintf(t, "connections per upstream\t%.0f\n", r.ConnectionsPerUpstream)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}
