package balancer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// minPauseMillis is the shortest delay that counts as a pause of an upstream.
	minPauseMillis = 60
	// minPauseFactor is the multiple of the usual latency from which an answer was delayed by a pause.
	minPauseFactor = 3.0
	// samePauseMillis is the time within which delayed answers end the same pause.
	samePauseMillis = 150
	// slowStateMillis is the time for which an upstream counts as slow after two delays in short order.
	slowStateMillis = 1500
	// maxPauseEnds bounds the ends of pauses that are kept for an upstream.
	maxPauseEnds = 6
	// intervalBinMillis is the width in which distances between pauses are counted together.
	intervalBinMillis = 25
	// minPeriodMillis and maxPeriodMillis bound the periods that are looked for.
	minPeriodMillis = tiller.Second
	maxPeriodMillis = 30 * tiller.Second
	// minIntervalCount is the number of equal distances from which a period is believed.
	minIntervalCount = 5
	// dominanceRatio is how much more often it must occur than any other distance.
	dominanceRatio = 2
	// maxIntervalCount bounds the votes, so that a new period is found.
	maxIntervalCount = 400
	// endToleranceMillis is the error of an observed end: the service time and a short queue.
	endToleranceMillis = 40
	// unconfirmedPeriods and confirmedPeriods are the numbers of periods for which an end predicts
	// further ones.
	unconfirmedPeriods = 2.5
	confirmedPeriods   = 20.0
	// slowUnconfirmedEnds is the number of unconfirmed ends from which an upstream is slow and does not pause.
	slowUnconfirmedEnds = 3
	// lengthStep is the weight of a shorter pause in the estimate of the length.
	lengthStep = 0.05
)

// PausePredictor learns whether upstreams pause periodically, each at a time of its own, from the answers
// that were delayed. It changes in place and has one owner.
//
// It answers the load of queries over many shards: when each upstream pauses for 4 in 100 of the
// time, nearly every query over 90 shards meets a pause, and a second request comes after a wait.
type PausePredictor struct {
	intervalCounts map[int]int
	intervalTotal  int
	period         float64
	pauseLength    float64
}

// PauseHistory holds the ends of the pauses of one upstream, newest last.
type PauseHistory struct {
	ends []pauseEnd
	// slowUntil is the time until which delays are put down to a slow upstream.
	slowUntil tiller.Millis
}

type pauseEnd struct {
	at        tiller.Millis
	confirmed bool
}

// NewPausePredictor returns a Pauses that knows no period.
func NewPausePredictor() *PausePredictor { return &PausePredictor{intervalCounts: make(map[int]int)} }

// Period returns the period in milliseconds; 0 when none is known.
func (p *PausePredictor) Period() tiller.Millis { return tiller.Millis(p.period) }

// Record takes the latency of an answer that came at the time now, where usual is expected.
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
		distance := now - s.ends[i].at
		p.countInterval(distance)
		if p.isMultipleOfPeriod(float64(distance)) {
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

// markSlow notes that an upstream is markSlow and does not only pause: its last end says nothing.
func (s *PauseHistory) markSlow(now tiller.Millis) {
	if now >= s.slowUntil {
		s.ends = s.ends[:len(s.ends)-1]
	}
	s.slowUntil = now + slowStateMillis
}

// updateLength keeps about the longest delay, which is that of a request sent as the pause began.
func (p *PausePredictor) updateLength(delay float64) {
	if delay > p.pauseLength {
		p.pauseLength = delay
		return
	}
	p.pauseLength += lengthStep * (delay - p.pauseLength) / 10
}

func (p *PausePredictor) isMultipleOfPeriod(distance float64) bool {
	if p.period == 0 {
		return false
	}
	k := math.Round(distance / p.period)
	return k >= 1 && math.Abs(distance-k*p.period) <= endToleranceMillis*math.Sqrt(k)
}

// countInterval counts a distance between two pauses of one upstream.
func (p *PausePredictor) countInterval(distance tiller.Millis) {
	if distance < minPeriodMillis || distance > maxPeriodMillis {
		return
	}
	p.intervalCounts[int(distance/intervalBinMillis)]++
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

// updatePeriod takes the distance that occurs most often for the period, when it stands out. Of the
// multiples of a period, which occur about as often, the smallest is taken.
func (p *PausePredictor) updatePeriod() {
	best, bestVotes := 0, 0
	for bin := range p.intervalCounts {
		n := p.countNear(bin)
		if n > bestVotes || n == bestVotes && bin < best {
			best, bestVotes = bin, n
		}
	}
	if bestVotes < minIntervalCount {
		return
	}
	for bin := range p.intervalCounts {
		if k := math.Round(float64(bin) / float64(best)); k >= 1 && math.Abs(float64(bin)-k*float64(best)) <= 2*k {
			continue
		}
		if p.countNear(bin)*dominanceRatio > bestVotes {
			return
		}
	}
	sum := 0.0
	for bin := best - 1; bin <= best+1; bin++ {
		sum += float64(p.intervalCounts[bin]) * (float64(bin) + 0.5) * intervalBinMillis
	}
	p.period = sum / float64(bestVotes)
}

func (p *PausePredictor) countNear(bin int) int {
	return p.intervalCounts[bin-1] + p.intervalCounts[bin] + p.intervalCounts[bin+1]
}

// Remaining returns the rest of the pause, in milliseconds, that an upstream is expected to be in
// at a time; 0 when it is expected to serve.
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
	rest := 0.0
	for _, end := range s.ends {
		age := float64(at - end.at)
		if !end.confirmed && (unconfirmed >= slowUnconfirmedEnds || age > unconfirmedPeriods*p.period) || age > confirmedPeriods*p.period {
			continue
		}
		k := math.Max(math.Ceil(age/p.period), 1)
		left := k*p.period - age
		if left < p.pauseLength+endToleranceMillis/2 {
			rest = math.Max(rest, left)
		}
	}
	return rest
}
