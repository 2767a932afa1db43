package sampler

import (
	"net/netip"
)

// SequentialAddresses returns a function that gives each upstream an address of its own, with the given port:
// first for the first upstream that it is asked for, then the addresses that follow.
// The function must not be called concurrently.
func SequentialAddresses(first netip.Addr, port uint16) func(upstream string) string {
	known := map[string]string{}
	next := first
	return func(upstream string) string {
		if address, ok := known[upstream]; ok {
			return address
		}
		known[upstream] = netip.AddrPortFrom(next, port).String()
		next = next.Next()
		return known[upstream]
	}
}
