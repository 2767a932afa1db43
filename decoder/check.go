package decoder

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Upper bounds of numeric fields. They reject values that can only be mistakes, such as a wrong unit.
const (
	// maxNameBytes is the maximum length of a name that the HTTP interfaces accept.
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
	// maxCanaryPercent is the largest percentage of queries that the design allows for a version
	// that has not been judged yet.
	maxCanaryPercent = 5
)

// environments lists the valid values of Environment. Each environment has its own document.
var environments = []string{"trial", "production"}

// checkName checks that value, the field at path, is a valid name. It reports whether the field was decoded and is valid.
// It skips a field that was not decoded: the field is either optional and absent, or its fault has been recorded already.
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

// isInvalidNameRune reports whether c is not allowed in a name.
func isInvalidNameRune(c rune) bool {
	return !unicode.IsGraphic(c) || unicode.IsSpace(c)
}

// checkOneOf checks that the field at path, if decoded, has one of the allowed values.
func (r *reader) checkOneOf(path, value string, allowed []string) {
	if r.decoded(path) && !slices.Contains(allowed, value) {
		r.addFaultAt(path, "%s is none of %s", quoted(value), strings.Join(allowed, ", "))
	}
}

// checkRange checks that the field at path, if decoded, is in the range low to high, both inclusive.
func checkRange[T cmp.Ordered](r *reader, path string, value, low, high T) {
	switch {
	case !r.decoded(path):
	case value < low:
		r.addFaultAt(path, "%v is less than %v", value, low)
	case value > high:
		r.addFaultAt(path, "%v is more than %v", value, high)
	}
}

// checkNotEmpty checks that the list at path, if decoded, has elements; n is its length.
func (r *reader) checkNotEmpty(path string, n int) {
	if r.decoded(path) && n == 0 {
		r.addFaultAt(path, "empty list")
	}
}

// checkUnique checks that value, the field at path, is not in seen, and adds it.
// seen maps each value to the path of its first occurrence.
func (r *reader) checkUnique(path, value string, seen map[string]string) {
	first, found := seen[value]
	if !found {
		seen[value] = path
		return
	}
	r.addFaultAt(path, "duplicate of %s, %s", first, quoted(value))
}

// checkUniqueName checks that the field at path is a valid name that is not in seen, and adds it.
func (r *reader) checkUniqueName(path, value string, seen map[string]string) {
	if r.checkName(path, value) {
		r.checkUnique(path, value, seen)
	}
}

// parseAddress parses the field at path as an IP address and a port.
// It converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare equal.
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

// parseRemoteAddress parses the field at path as an address to connect to: neither the port nor the IP address may be zero.
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
