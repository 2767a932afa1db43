package faker

import tiller "github.com/carawaytiller/carawaytiller"

// loadSample is the number of requests in flight from time at until the next sample.
type loadSample struct {
	at       tiller.Millis
	inFlight int
}

// loadHistory holds the load samples that the load endpoint needs to report with a lag.
type loadHistory struct {
	samples []loadSample
}

// record adds a sample of the load at now and prunes samples older than lag.
func (h *loadHistory) record(now tiller.Millis, inFlight int, lag tiller.Millis) {
	if n := len(h.samples); n > 0 && h.samples[n-1].at == now {
		h.samples[n-1].inFlight = inFlight
		return
	}
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight})
	h.prune(now - lag)
}

// at returns the load at time t, or that of the first sample when t is before it.
// It prunes the samples before t, so successive calls with a smaller t may get a later load.
func (h *loadHistory) at(t tiller.Millis) int {
	h.prune(t)
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[0].inFlight
}

// prune removes the samples that a later sample had superseded by time t.
func (h *loadHistory) prune(t tiller.Millis) {
	for len(h.samples) > 1 && h.samples[1].at <= t {
		h.samples = h.samples[1:]
	}
}
