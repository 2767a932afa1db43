package decoder

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Bounds of numbers. They exclude values that can only come from a mistake, such as a wrong unit.
const (
	// maxNameLength, in bytes, is the bound of the HTTP interfaces on names.
	maxNameLength  = 128
	maxSeats       = 100_000
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxItems       = 10_000
	maxQueue       = 1_000_000
	maxPercent     = 100
	maxConnect     = tiller.Minute
	maxDeadline    = tiller.Hour
	maxStop        = tiller.Hour
	// maxCanaryPercent is the bound of the design on the share of a version that has not been judged.
	maxCanaryPercent = 5
)

// environments lists the environments that have a document.
var environments = []string{"trial", "production"}

// text checks that the field at path, when given, has the form of a name. It says whether it has.
func (r *reader) text(path, value string) bool {
	switch {
	case !r.given(path):
		return false
	case value == "":
		r.faultAt(path, "empty")
	case len(value) > maxNameLength:
		r.faultAt(path, "longer than %d bytes", maxNameLength)
	case strings.ContainsFunc(value, isNotNameRune):
		r.faultAt(path, "contains a space or a character that does not print")
	default:
		return true
	}
	return false
}

// isNotNameRune says whether c must not stand in a name.
func isNotNameRune(c rune) bool {
	return !unicode.IsGraphic(c) || unicode.IsSpace(c)
}

// oneOf checks that the field at path, when given, has one of the allowed values.
func (r *reader) oneOf(path, value string, allowed []string) {
	if r.given(path) && !slices.Contains(allowed, value) {
		r.faultAt(path, "%s is none of %s", quoted(value), strings.Join(allowed, ", "))
	}
}

// within checks that the field at path, when given, is from low to high.
func within[T cmp.Ordered](r *reader, path string, value, low, high T) {
	switch {
	case !r.given(path):
	case value < low:
		r.faultAt(path, "%v is less than %v", value, low)
	case value > high:
		r.faultAt(path, "%v is more than %v", value, high)
	}
}

// notEmpty checks that the list at path, when given, has elements.
func (r *reader) notEmpty(path string, n int) {
	if r.given(path) && n == 0 {
		r.faultAt(path, "empty list")
	}
}

// unique checks that the field at path has a value that is not in seen, and adds it.
func (r *reader) unique(path, value string, seen map[string]string) {
	first, found := seen[value]
	if !found {
		seen[value] = path
		return
	}
	r.faultAt(path, "duplicate of %s, %s", first, quoted(value))
}

// uniqueName checks a name that must occur once in its list.
func (r *reader) uniqueName(path, value string, seen map[string]string) {
	if r.text(path, value) {
		r.unique(path, value, seen)
	}
}

// address parses the field at path as an IP address and a port.
func (r *reader) address(path, value string) (netip.AddrPort, bool) {
	if !r.given(path) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		r.faultAt(path, "%s is not an IP address with a port, such as 10.0.0.1:8080", quoted(value))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// remoteAddress parses the field at path as an address to connect to.
func (r *reader) remoteAddress(path, value string) (netip.AddrPort, bool) {
	a, ok := r.address(path, value)
	switch {
	case !ok:
		return a, false
	case a.Port() == 0:
		r.faultAt(path, "the port is 0")
	case a.Addr().IsUnspecified():
		r.faultAt(path, "%s is no address of one host", a.Addr())
	default:
		return a, true
	}
	return a, false
}
