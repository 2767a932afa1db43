package carawaytiller

import "fmt"

// Verdict states whether a request may have run on an upstream.
type Verdict uint8

// The verdicts, in increasing order of certainty that the request ran.
const (
	// NotRun means that no upstream ran any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether an upstream ran the request.
	MayHaveRun
	// Ran means that an upstream ran the request to completion.
	Ran
)

// String returns the name of v as used in messages.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// Join returns the combined verdict of the two parts of a request: their common verdict, or
// MayHaveRun when they differ.
func (v Verdict) Join(other Verdict) Verdict {
	if v == other {
		return v
	}
	return MayHaveRun
}
