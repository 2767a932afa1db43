package executor

import (
	"context"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// digest returns a hash of what the attempts of a request have in common: its target, its body and the headers
// that tell its caller. It is not 0.
func (x *Executor) digest(r Request) uint64 {
	h := xxhash.New()
	write := func(field string) {
		// Writing to a hash cannot fail.
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	write(r.Method)
	write(r.Host)
	write(r.URI)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		if x.codec.PerAttempt != nil && x.codec.PerAttempt(name) {
			continue
		}
		write(name)
		for _, value := range r.Header[name] {
			write(value)
		}
	}
	_, _ = h.Write(r.Body)
	return max(h.Sum64(), 1)
}

// probeUpstream checks whether an upstream accepts connections, and feeds in the result. The connection is kept
// for later requests.
func (x *Executor) probeUpstream(e gatherer.ProbeUpstream) {
	reached := x.client.Reach(context.Background(), forwarder.Request{Address: e.Upstream.Address, Key: e.Upstream.ID})
	x.Step(gatherer.UpstreamProbed{ID: e.Upstream.ID, Reached: reached})
}
