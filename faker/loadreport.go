package faker

import tiller "github.com/carawaytiller/carawaytiller"

// loadSample is the number of requests that ran from a time on.
type loadSample struct {
	at       tiller.Millis
	inFlight int
}

// loadHistory remembers the load for as long as the load endpoint lags.
type loadHistory struct {
	samples []loadSample
}

// record adds the load at now.
func (h *loadHistory) record(now tiller.Millis, inFlight int, lag tiller.Millis) {
	if n := len(h.samples); n > 0 && h.samples[n-1].at == now {
		h.samples[n-1].inFlight = inFlight
		return
	}
	h.samples = append(h.samples, loadSample{at: now, inFlight: inFlight})
	h.prune(now - lag)
}

// at returns the load at a time; before the first sample it is that of the first.
func (h *loadHistory) at(t tiller.Millis) int {
	h.prune(t)
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[0].inFlight
}

// prune drops the samples that were replaced by t.
func (h *loadHistory) prune(t tiller.Millis) {
	for len(h.samples) > 1 && h.samples[1].at <= t {
		h.samples = h.samples[1:]
	}
}
