package comparer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Row holds the figures of one fan-out in one round. A call is one direct upstream call, a fan-out the direct calls
// to all upstreams at once, a query one query from caller to answer.
type Row struct {
	FanOut int
	Round  int
	// Times are in milliseconds.
	CallP50Millis   float64
	FanOutP50Millis float64
	QueryP50Millis  float64
	QueryP99Millis  float64
	// QueryByCallP50 and QueryByCallP99 are the times of queries by those of calls.
	QueryByCallP50 float64
	QueryByCallP99 float64
	// QueryByFanOutP50 and QueryByFanOutP99 are the times of queries by those of fan-outs.
	QueryByFanOutP50 float64
	QueryByFanOutP99 float64
	// Allocations are objects allocated in the whole process, with the fake upstreams.
	FanOutAllocs float64
	QueryAllocs  float64
	// TierAllocs is what a query allocates more than a fan-out.
	TierAllocs float64
}

func (m *meters) row(fanOut int) Row {
	return Row{
		FanOut:           fanOut,
		CallP50Millis:    m.call.quantileMillis(50),
		FanOutP50Millis:  m.fanOut.quantileMillis(50),
		QueryP50Millis:   m.query.quantileMillis(50),
		QueryP99Millis:   m.query.quantileMillis(99),
		QueryByCallP50:   m.query.quantileMillis(50) / m.call.quantileMillis(50),
		QueryByCallP99:   m.query.quantileMillis(99) / m.call.quantileMillis(99),
		QueryByFanOutP50: m.query.quantileMillis(50) / m.fanOut.quantileMillis(50),
		QueryByFanOutP99: m.query.quantileMillis(99) / m.fanOut.quantileMillis(99),
		FanOutAllocs:     m.fanOut.allocsPerRun(),
		QueryAllocs:      m.query.allocsPerRun(),
		TierAllocs:       m.query.allocsPerRun() - m.fanOut.allocsPerRun(),
	}
}

// WriteText writes rows as a table.
func WriteText(w io.Writer, rows []Row) error {
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "fan-out\tround\tcall p50 ms\tfan-out p50 ms\tquery p50 ms\tquery p99 ms\t"+
		"query/call p50\tp99\tquery/fan-out p50\tp99\tallocs fan-out\tquery\ttier\t")
	for _, r := range rows {
		fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t\n",
			r.FanOut, r.Round, r.CallP50Millis, r.FanOutP50Millis, r.QueryP50Millis, r.QueryP99Millis,
			r.QueryByCallP50, r.QueryByCallP99, r.QueryByFanOutP50, r.QueryByFanOutP99,
			r.FanOutAllocs, r.QueryAllocs, r.TierAllocs)
	}
	// A strings.Builder takes every write.
	_ = table.Flush()
	_, err := io.WriteString(w, b.String())
	return err
}
