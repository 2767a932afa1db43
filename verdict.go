package carawaytiller

import "fmt"

// Verdict says whether a request may have run on an upstream.
type Verdict uint8

// The verdicts, in growing order of certainty that the request ran.
const (
	// NotRun means that no upstream ran any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether an upstream ran the request.
	MayHaveRun
	// Ran means that an upstream ran the request to its end.
	Ran
)

// String returns the name of v as it stands in messages.
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

// Join returns the verdict of a request made of two parts with the verdicts v and other.
// NotRun holds only when it holds for both.
func (v Verdict) Join(other Verdict) Verdict {
	if v == other {
		return v
	}
	return MayHaveRun
}
