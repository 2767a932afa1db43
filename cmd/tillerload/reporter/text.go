package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes a summary for people.
func WriteText(w io.Writer, s Summary) error {
	var b strings.Builder
	fmt.Fprintf(&b, "target %s, seed %d, fault %s\n\n", s.Target, s.Seed, s.Fault)
	parts := append([]Part{s.Total}, s.Phases...)
	writeTable(&b, parts)
	for _, p := range parts {
		writeEnds(&b, p)
	}
	if u := s.Upstreams; u != nil {
		fmt.Fprintf(&b, "upstreams with warm-up: run %d, shed %d, cancelled %d, timed out %d, crashes %d\n",
			u.Run, u.Shed, u.Cancelled, u.TimedOut, u.Crashes)
	}
	writeViolations(&b, s.Violations)
	_, err := io.WriteString(w, b.String())
	return err
}

// rows are the rows of the table of parts.
var rows = []struct {
	name string
	cell func(Part) string
}{
	{"seconds", func(p Part) string { return fmt.Sprintf("%.1f", p.Seconds) }},
	{"offered/s", func(p Part) string { return fmt.Sprintf("%.1f", p.OfferedPerSecond) }},
	{"answers/s", func(p Part) string { return fmt.Sprintf("%.1f", p.AchievedPerSecond) }},
	{"goodput/s", func(p Part) string { return fmt.Sprintf("%.1f", p.GoodputPerSecond) }},
	{"p50 ms", func(p Part) string { return fmt.Sprintf("%.1f", p.Latency.P50Millis) }},
	{"p90 ms", func(p Part) string { return fmt.Sprintf("%.1f", p.Latency.P90Millis) }},
	{"p99 ms", func(p Part) string { return fmt.Sprintf("%.1f", p.Latency.P99Millis) }},
	{"p99.9 ms", func(p Part) string { return fmt.Sprintf("%.1f", p.Latency.P999Millis) }},
	{"max ms", func(p Part) string { return fmt.Sprintf("%.1f", p.Latency.MaxMillis) }},
	{"whole answers", func(p Part) string { return fmt.Sprintf("%.4f", p.Coverage.WholeShare) }},
	{"mean coverage", func(p Part) string { return fmt.Sprintf("%.4f", p.Coverage.Mean) }},
	{"upstream requests", func(p Part) string { return fmt.Sprint(p.Load.UpstreamRequests) }},
	{"over the minimum", func(p Part) string { return fmt.Sprintf("%.3f", p.Load.OverMinimum) }},
	{"over first requests", func(p Part) string { return fmt.Sprintf("%.3f", p.Load.OverFirst) }},
	{"hedges", func(p Part) string { return fmt.Sprint(p.Load.Hedges) }},
	{"retries", func(p Part) string { return fmt.Sprint(p.Load.Retries) }},
	{"redirects", func(p Part) string { return fmt.Sprint(p.Load.Redirects) }},
	{"send lag p99 ms", func(p Part) string { return fmt.Sprintf("%.1f", p.SendLagP99Millis) }},
}

func writeTable(b *strings.Builder, parts []Part) {
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, p := range parts {
		fmt.Fprintf(table, "\t%s", p.Name)
	}
	fmt.Fprintln(table, "\t")
	for _, row := range rows {
		fmt.Fprint(table, row.name)
		for _, p := range parts {
			fmt.Fprintf(table, "\t%s", row.cell(p))
		}
		fmt.Fprintln(table, "\t")
	}
	// A strings.Builder takes every write.
	_ = table.Flush()
}

// writeEnds writes the kinds, refusals and lost queries of a part.
func writeEnds(b *strings.Builder, p Part) {
	fmt.Fprintf(b, "\n%s:\n", p.Name)
	for _, k := range p.Kinds {
		fmt.Fprintf(b, "  %s: %d of %d answered, p50 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			k.Kind, k.Answered, k.Offered, k.Latency.P50Millis, k.Latency.P99Millis, k.Latency.MaxMillis)
	}
	for _, r := range p.Refusals {
		fmt.Fprintf(b, "  refused %s %s: %d\n", r.Verdict, r.Reason, r.Count)
	}
	for _, cause := range slices.Sorted(maps.Keys(p.Lost)) {
		fmt.Fprintf(b, "  lost %s: %d\n", cause, p.Lost[cause])
	}
}

func writeViolations(b *strings.Builder, v Violations) {
	for _, reason := range v.NotChecked {
		fmt.Fprintf(b, "not checked: %s\n", reason)
	}
	fmt.Fprintf(b, "violations: %d\n", v.Total)
	for _, i := range slices.Sorted(maps.Keys(v.Counts)) {
		fmt.Fprintf(b, "  %s: %d\n", i, v.Counts[i])
	}
	for _, first := range v.First {
		fmt.Fprintf(b, "  %s %s: %s\n", first.Invariant, first.Subject, first.Detail)
	}
}
