package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in the input, with its position.
type Fault struct {
	// File is the name of the input; it may be empty.
	File string
	// Line counts from 1.
	Line int
	// Column counts bytes from 1. If the input ends unexpectedly, it is one past the end of the line.
	Column int
	// Field is the path of the field, such as Services[2].Snapshots[0].Shards[1].Upstreams[0].
	// It is Document or Settings for a fault of the whole input.
	Field  string
	Reason string
}

// String returns the fault as FILE:LINE:COL: Field: reason, or without "FILE:" if File is empty.
func (f Fault) String() string {
	if f.File == "" {
		return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Field, f.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Reason)
}

// Faults are the errors in one input, ordered by position.
type Faults []Fault

// String returns the faults, one per line.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts f in place by position, then by field and reason, so that the order does not depend on the order
// of the checks, and returns f.
func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
	return f
}
