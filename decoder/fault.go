package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a text, with its position.
type Fault struct {
	// File is the name of the text; it may be empty.
	File string
	// Line counts from 1.
	Line int
	// Column counts bytes from 1. It is one past the end of the line when the text ends too early.
	Column int
	// Field is the path of the field, such as Services[2].Snapshots[0].Shards[1].Upstreams[0].
	// It is Document or Settings for a fault of the text as a whole.
	Field string
	// Reason states what is wrong.
	Reason string
}

// String returns the fault as FILE:LINE:COL: Field: reason, without FILE when the text has no name.
func (f Fault) String() string {
	if f.File == "" {
		return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Field, f.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Reason)
}

// Faults are the errors of one text, ordered by position.
type Faults []Fault

// String returns one fault a line.
func (f Faults) String() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted orders f by position, then by field and reason, so that the order does not depend on that of the checks.
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
