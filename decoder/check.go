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
	// maxNameBytes, in bytes, is the bound of the HTTP interfaces on names.
	maxNameBytes      = 128
	maxSeats          = 100_000
	maxSlots          = 100_000
	maxConnections    = 1_000_000
	maxItems          = 10_000
	maxQueueLimit     = 1_000_000
	maxPercent        = 100
	maxConnectMillis  = tiller.Minute
	maxDeadlineMillis = tiller.Hour
	maxStopMillis     = tiller.Hour
	// maxCanaryPercent is the bound of the design on the share of a version that has not been judged.
	maxCanaryPercent = 5
)

// environments lists the environments that have a document.
var environments = []string{"trial", "production"}

// checkName checks that the field at path, when given, has the form of a name. It says whether it has.
func (r *reader) checkName(path, value string) bool {
	switch {
	case !r.decoded(path):
		return false
	case value == "":
		r.addFaultAt(path, "empty")
	case len(value) > maxNameBytes:
		r.addFaultAt(path, "longer than %d bytes", maxNameBytes)
	case strings.ContainsFunc(value, isInvalidNameRune):
		r.addFaultAt(path, "contains a space or a character that does not print")
	default:
		return true
	}
	return false
}

// isInvalidNameRune says whether c must not stand in a name.
func isInvalidNameRune(c rune) bool {
	return !unicode.IsGraphic(c) || unicode.IsSpace(c)
}

// checkOneOf checks that the field at path, when given, has one of the allowed values.
func (r *reader) checkOneOf(path, value string, allowed []string) {
	if r.decoded(path) && !slices.Contains(allowed, value) {
		r.addFaultAt(path, "%s is none of %s", quoted(value), strings.Join(allowed, ", "))
	}
}

// checkRange checks that the field at path, when given, is from low to high.
func checkRange[T cmp.Ordered](r *reader, path string, value, low, high T) {
	switch {
	case !r.decoded(path):
	case value < low:
		r.addFaultAt(path, "%v is less than %v", value, low)
	case value > high:
		r.addFaultAt(path, "%v is more than %v", value, high)
	}
}

// checkNotEmpty checks that the list at path, when given, has elements.
func (r *reader) checkNotEmpty(path string, n int) {
	if r.decoded(path) && n == 0 {
		r.addFaultAt(path, "empty list")
	}
}

// checkUnique checks that the field at path has a value that is not in seen, and adds it.
func (r *reader) checkUnique(path, value string, seen map[string]string) {
	first, found := seen[value]
	if !found {
		seen[value] = path
		return
	}
	r.addFaultAt(path, "duplicate of %s, %s", first, quoted(value))
}

// checkUniqueName checks a name that must occur once in its list.
func (r *reader) checkUniqueName(path, value string, seen map[string]string) {
	if r.checkName(path, value) {
		r.checkUnique(path, value, seen)
	}
}

// parseAddress parses the field at path as an IP address and a port.
func (r *reader) parseAddress(path, value string) (netip.AddrPort, bool) {
	if !r.decoded(path) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		r.addFaultAt(path, "%s is not an IP address with a port, such as 10.0.0.1:8080", quoted(value))
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

// parseRemoteAddress parses the field at path as an address to connect to.
func (r *reader) parseRemoteAddress(path, value string) (netip.AddrPort, bool) {
	a, ok := r.parseAddress(path, value)
	switch {
	case !ok:
		return a, false
	case a.Port() == 0:
		r.addFaultAt(path, "the port is 0")
	case a.Addr().IsUnspecified():
		r.addFaultAt(path, "%s is no address of one host", a.Addr())
	default:
		return a, true
	}
	return a, false
}
