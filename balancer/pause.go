package balancer

import (
	"math"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// stallMillis is the shortest delay that counts as a pause of an upstream.
	stallMillis = 60
	// stallFactor is the multiple of the usual latency from which an answer was delayed by a pause.
	stallFactor = 3.0
	// sameMillis is the time within which delayed answers end the same pause.
	sameMillis = 150
	// slowMillis is the time for which an upstream counts as slow after two delays in short order.
	slowMillis = 1500
	// keptEnds bounds the ends of pauses that are kept for an upstream.
	keptEnds = 6
	// binMillis is the width in which distances between pauses are counted together.
	binMillis = 25
	// minPeriodMillis and maxPeriodMillis bound the periods that are looked for.
	minPeriodMillis = tiller.Second
	maxPeriodMillis = 30 * tiller.Second
	// minVotes is the number of equal distances from which a period is believed.
	minVotes = 5
	// voteRatio is how much more often it must occur than any other distance.
	voteRatio = 2
	// maxVotes bounds the votes, so that a new period is found.
	maxVotes = 400
	// toleranceMillis is the error of an observed end: the service time and a short queue.
	toleranceMillis = 40
	// unconfirmedPeriods and confirmedPeriods are the numbers of periods for which an end predicts
	// further ones.
	unconfirmedPeriods = 2.5
	confirmedPeriods   = 20.0
	// noisyEnds is the number of unconfirmed ends from which an upstream is slow and does not pause.
	noisyEnds = 3
	// lengthStep is the weight of a shorter pause in the estimate of the length.
	lengthStep = 0.05
)

// PausePredictor learns whether upstreams pause periodically, each at a time of its own, from the answers
// that were delayed. It changes in place and has one owner.
//
// It answers the load of queries over many shards: when each upstream pauses for 4 in 100 of the
// time, nearly every query over 90 shards meets a pause, and a second request comes after a wait.
type PausePredictor struct {
	votes  map[int]int
	total  int
	period float64
	length float64
}

// PauseHistory holds the ends of the pauses of one upstream, newest last.
type PauseHistory struct {
	ends []stallEnd
	// slowUntil is the time until which delays are put down to a slow upstream.
	slowUntil tiller.Millis
}

type stallEnd struct {
	at        tiller.Millis
	confirmed bool
}

// NewPausePredictor returns a Pauses that knows no period.
func NewPausePredictor() *PausePredictor { return &PausePredictor{votes: make(map[int]int)} }

// Period returns the period in milliseconds; 0 when none is known.
func (p *PausePredictor) Period() tiller.Millis { return tiller.Millis(p.period) }

// Record takes the latency of an answer that came at the time now, where usual is expected.
func (p *PausePredictor) Record(now tiller.Millis, s *PauseHistory, took, usual float64) {
	if took < stallMillis || took < stallFactor*usual {
		return
	}
	if last := len(s.ends) - 1; last >= 0 && now-s.ends[last].at < minPeriodMillis {
		if now-s.ends[last].at >= sameMillis {
			s.slow(now)
		}
		return
	}
	if now < s.slowUntil {
		s.slow(now)
		return
	}
	end := stallEnd{at: now}
	for i := range s.ends {
		distance := now - s.ends[i].at
		p.vote(distance)
		if p.isMultiple(float64(distance)) {
			s.ends[i].confirmed = true
			end.confirmed = true
		}
	}
	if end.confirmed {
		p.learnLength(took - usual)
	}
	s.ends = append(s.ends, end)
	if len(s.ends) > keptEnds {
		s.ends = append([]stallEnd(nil), s.ends[1:]...)
	}
}

// slow notes that an upstream is slow and does not only pause: its last end says nothing.
func (s *PauseHistory) slow(now tiller.Millis) {
	if now >= s.slowUntil {
		s.ends = s.ends[:len(s.ends)-1]
	}
	s.slowUntil = now + slowMillis
}

// learnLength keeps about the longest delay, which is that of a request sent as the pause began.
func (p *PausePredictor) learnLength(delay float64) {
	if delay > p.length {
		p.length = delay
		return
	}
	p.length += lengthStep * (delay - p.length) / 10
}

func (p *PausePredictor) isMultiple(distance float64) bool {
	if p.period == 0 {
		return false
	}
	k := math.Round(distance / p.period)
	return k >= 1 && math.Abs(distance-k*p.period) <= toleranceMillis*math.Sqrt(k)
}

// vote counts a distance between two pauses of one upstream.
func (p *PausePredictor) vote(distance tiller.Millis) {
	if distance < minPeriodMillis || distance > maxPeriodMillis {
		return
	}
	p.votes[int(distance/binMillis)]++
	if p.total++; p.total > maxVotes {
		p.total = 0
		for bin, n := range p.votes {
			if n /= 2; n == 0 {
				delete(p.votes, bin)
			} else {
				p.votes[bin] = n
				p.total += n
			}
		}
	}
	p.elect()
}

// elect takes the distance that occurs most often for the period, when it stands out. Of the
// multiples of a period, which occur about as often, the smallest is taken.
func (p *PausePredictor) elect() {
	best, bestVotes := 0, 0
	for bin := range p.votes {
		n := p.around(bin)
		if n > bestVotes || n == bestVotes && bin < best {
			best, bestVotes = bin, n
		}
	}
	if bestVotes < minVotes {
		return
	}
	for bin := range p.votes {
		if k := math.Round(float64(bin) / float64(best)); k >= 1 && math.Abs(float64(bin)-k*float64(best)) <= 2*k {
			continue
		}
		if p.around(bin)*voteRatio > bestVotes {
			return
		}
	}
	sum := 0.0
	for bin := best - 1; bin <= best+1; bin++ {
		sum += float64(p.votes[bin]) * (float64(bin) + 0.5) * binMillis
	}
	p.period = sum / float64(bestVotes)
}

func (p *PausePredictor) around(bin int) int { return p.votes[bin-1] + p.votes[bin] + p.votes[bin+1] }

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
		if !end.confirmed && (unconfirmed >= noisyEnds || age > unconfirmedPeriods*p.period) || age > confirmedPeriods*p.period {
			continue
		}
		k := math.Max(math.Ceil(age/p.period), 1)
		left := k*p.period - age
		if left < p.length+toleranceMillis/2 {
			rest = math.Max(rest, left)
		}
	}
	return rest
}
