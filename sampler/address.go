package sampler

import (
	"net/netip"
)

// SequentialAddresses returns a function that assigns each upstream a unique address with the given port.
// The first upstream passed to it gets the IP address first, and each new upstream gets the next IP address.
// Later calls for the same upstream return the same address. The function must not be called concurrently.
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
