package balancer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// minPauseMillis is the minimum latency that is attributed to a pause of the upstream.
	minPauseMillis = 60
	// minPauseFactor is the minimum multiple of the expected latency that is attributed to a pause.
	minPauseFactor = 3.0
	// samePauseMillis is the time within which delayed responses are attributed to the same pause.
	samePauseMillis = 150
	// slowStateMillis is how long an upstream counts as slow after a delay that follows the last pause by at
	// least samePauseMillis and less than minPeriodMillis.
	slowStateMillis = 1500
	// maxPauseEnds is the maximum number of pause ends kept for each upstream.
	maxPauseEnds = 6
	// intervalBinMillis is the bin width of the histogram of intervals between pauses.
	intervalBinMillis = 25
	// minPeriodMillis and maxPeriodMillis bound the periods that are detected.
	minPeriodMillis = tiller.Second
	maxPeriodMillis = 30 * tiller.Second
	// minIntervalCount is the number of intervals in a bin and its neighbours required to accept a period.
	minIntervalCount = 5
	// dominanceRatio is how many times as often the period must occur as any interval that is not a
	// multiple of it.
	dominanceRatio = 2
	// maxIntervalCount is the total above which all counts are halved, so that a changed period is detected.
	maxIntervalCount = 400
	// endToleranceMillis is the error of an observed pause end, caused by the service time and a short queue.
	endToleranceMillis = 40
	// unconfirmedPeriods and confirmedPeriods are the ages, in periods, up to which an unconfirmed or a
	// confirmed pause end predicts further pauses.
	unconfirmedPeriods = 2.5
	confirmedPeriods   = 20.0
	// slowUnconfirmedEnds is the number of unconfirmed ends within one period from which delays are
	// attributed to a slow upstream, so that the unconfirmed ends predict nothing.
	slowUnconfirmedEnds = 3
	// lengthStep, divided by 10, is the weight of a shorter pause in the estimate of the pause length.
	lengthStep = 0.05
)

// PausePredictor detects from delayed responses whether upstreams pause periodically, and predicts their
// next pauses. All upstreams share one period; each has its own phase. PausePredictor is mutable and not
// safe for concurrent use.
//
// It serves queries over many shards: when each upstream pauses for 4 % of the time, nearly every query
// over 90 shards meets a pause, and a second request is sent only after a wait.
type PausePredictor struct {
	intervalCounts map[int]int
	intervalTotal  int
	period         float64
	pauseLength    float64
}

// PauseHistory holds the ends of the recent pauses of one upstream, newest last.
type PauseHistory struct {
	ends []pauseEnd
	// slowUntil is the time until which delays are attributed to a slow upstream and not to a pause.
	slowUntil tiller.Millis
}

type pauseEnd struct {
	at tiller.Millis
	// confirmed is true if the time from another end is a multiple of the period.
	confirmed bool
}

// NewPausePredictor returns a PausePredictor without a period.
func NewPausePredictor() *PausePredictor { return &PausePredictor{intervalCounts: make(map[int]int)} }

// Period returns the detected period, or 0 if none is known.
func (p *PausePredictor) Period() tiller.Millis { return tiller.Millis(p.period) }

// Record adds the latency took, in milliseconds, of a response that arrived at now. usual is the expected
// latency in milliseconds.
func (p *PausePredictor) Record(now tiller.Millis, s *PauseHistory, took, usual float64) {
	if took < minPauseMillis || took < minPauseFactor*usual {
		return
	}
	if last := len(s.ends) - 1; last >= 0 && now-s.ends[last].at < minPeriodMillis {
		if now-s.ends[last].at >= samePauseMillis {
			s.markSlow(now)
		}
		return
	}
	if now < s.slowUntil {
		s.markSlow(now)
		return
	}
	end := pauseEnd{at: now}
	for i := range s.ends {
		interval := now - s.ends[i].at
		p.countInterval(interval)
		if p.isMultipleOfPeriod(float64(interval)) {
			s.ends[i].confirmed = true
			end.confirmed = true
		}
	}
	if end.confirmed {
		p.updateLength(took - usual)
	}
	s.ends = append(s.ends, end)
	if len(s.ends) > maxPauseEnds {
		s.ends = append([]pauseEnd(nil), s.ends[1:]...)
	}
}

// markSlow records that the upstream is slow and not only pausing. On entry to this state it drops the last
// pause end, which the slowness may have caused.
func (s *PauseHistory) markSlow(now tiller.Millis) {
	if now >= s.slowUntil {
		s.ends = s.ends[:len(s.ends)-1]
	}
	s.slowUntil = now + slowStateMillis
}

// updateLength tracks the longest delay, which is that of a request sent when the pause began. Shorter
// delays lower the estimate slowly.
func (p *PausePredictor) updateLength(delay float64) {
	if delay > p.pauseLength {
		p.pauseLength = delay
		return
	}
	p.pauseLength += lengthStep * (delay - p.pauseLength) / 10
}

func (p *PausePredictor) isMultipleOfPeriod(interval float64) bool {
	if p.period == 0 {
		return false
	}
	k := math.Round(interval / p.period)
	return k >= 1 && math.Abs(interval-k*p.period) <= endToleranceMillis*math.Sqrt(k)
}

// countInterval adds the interval between two pauses of one upstream to the histogram.
func (p *PausePredictor) countInterval(interval tiller.Millis) {
	if interval < minPeriodMillis || interval > maxPeriodMillis {
		return
	}
	p.intervalCounts[int(interval/intervalBinMillis)]++
	if p.intervalTotal++; p.intervalTotal > maxIntervalCount {
		p.intervalTotal = 0
		for bin, n := range p.intervalCounts {
			if n /= 2; n == 0 {
				delete(p.intervalCounts, bin)
			} else {
				p.intervalCounts[bin] = n
				p.intervalTotal += n
			}
		}
	}
	p.updatePeriod()
}

// updatePeriod sets the period to the most frequent interval, if that is frequent enough and dominates all
// intervals that are not multiples of it. Of equally frequent intervals it takes the shortest, because
// the multiples of a period occur about as often as the period.
func (p *PausePredictor) updatePeriod() {
	best, bestCount := 0, 0
	for bin := range p.intervalCounts {
		n := p.countNear(bin)
		if n > bestCount || n == bestCount && bin < best {
			best, bestCount = bin, n
		}
	}
	if bestCount < minIntervalCount {
		return
	}
	for bin := range p.intervalCounts {
		if k := math.Round(float64(bin) / float64(best)); k >= 1 && math.Abs(float64(bin)-k*float64(best)) <= 2*k {
			continue
		}
		if p.countNear(bin)*dominanceRatio > bestCount {
			return
		}
	}
	sum := 0.0
	for bin := best - 1; bin <= best+1; bin++ {
		sum += float64(p.intervalCounts[bin]) * (float64(bin) + 0.5) * intervalBinMillis
	}
	p.period = sum / float64(bestCount)
}

// countNear returns the number of intervals in a bin and its two neighbours.
func (p *PausePredictor) countNear(bin int) int {
	return p.intervalCounts[bin-1] + p.intervalCounts[bin] + p.intervalCounts[bin+1]
}

// Remaining returns the remaining time, in milliseconds, of the pause predicted for the upstream at the
// given time, or 0 if no pause is predicted.
func (p *PausePredictor) Remaining(at tiller.Millis, s *PauseHistory) float64 {
	if p.period == 0 || len(s.ends) == 0 {
		return 0
	}
	unconfirmed := 0
	for _, end := range s.ends {
		if !end.confirmed && float64(at-end.at) < p.period {
			unconfirmed++
		}
	}
	remaining := 0.0
	for _, end := range s.ends {
		age := float64(at - end.at)
		if !end.confirmed && (unconfirmed >= slowUnconfirmedEnds || age > unconfirmedPeriods*p.period) || age > confirmedPeriods*p.period {
			continue
		}
		k := math.Max(math.Ceil(age/p.period), 1)
		untilEnd := k*p.period - age
		if untilEnd < p.pauseLength+endToleranceMillis/2 {
			remaining = math.Max(remaining, untilEnd)
		}
	}
	return remaining
}
