package gatherer_test

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/merger"
)

// fakeUpstream runs up to Slots requests concurrently, queues up to queueLimit more, and rejects the rest.
type fakeUpstream struct {
	cataloger.Upstream
	serviceTime tiller.Millis
	queueLimit  int
	running     int
	waiting     []*job
	// jobs holds all requests that were accepted since the last crash.
	jobs []*job
	// Every pauseInterval, shifted by pausePhase, the upstream pauses for pauseLength. 0 means no pauses.
	pauseInterval tiller.Millis
	pausePhase    tiller.Millis
	pauseLength   tiller.Millis
	silent        bool
	// shedRate is the probability that a request is rejected.
	shedRate float64
	// resetRate is the probability that the connection is lost after a request has run.
	resetRate float64
	// badRate is the probability of a bad answer: a failure, or an answer after slowFactor times the service
	// time if that is above 0. badFrom is the time from which answers may be bad.
	badRate    float64
	slowFactor tiller.Millis
	badFrom    tiller.Millis
	// limitPerSecond is the rate of requests that the upstream names in its answers from limitFrom on; 0 for none.
	limitPerSecond float64
	limitFrom      tiller.Millis
	// leavingFrom is the time from which the upstream says in its answers that it is leaving; 0 for never.
	leavingFrom tiller.Millis
	// Between busyFrom and busyUntil the upstream rejects all requests and asks for pauses of pauseNamed.
	busyFrom, busyUntil, pauseNamed tiller.Millis
	// downUntil is the time until which the upstream refuses connections after a crash.
	downUntil    tiller.Millis
	crashes      []tiller.Millis
	badAnswers   []tiller.Millis
	requestTimes []tiller.Millis
	// records are the shard's records. Empty stands for two records of zero bytes.
	records []byte
}

func (s *fakeUpstream) body() []byte {
	if len(s.records) > 0 {
		return s.records
	}
	return make([]byte, 2*merger.RecordBytes)
}

// job is a request that is queued or running at an upstream.
type job struct {
	ended    bool
	started  bool
	bad      bool
	complete func(waiting int)
	// lose ends the request when its upstream crashes.
	lose func()
}

// serve delivers a request to an upstream. A silent upstream never calls answer. The returned function
// cancels the request at the upstream.
func (sim *simulation) serve(s *fakeUpstream, id string, answer func(gatherer.AttemptEnded)) (cancel func()) {
	if s.silent {
		return func() {}
	}
	answer = sim.withLimit(s, answer)
	a := arrival{at: sim.now, id: id, upstream: s.ID}
	s.requestTimes = append(s.requestTimes, sim.now)
	if sim.now >= s.busyFrom && sim.now < s.busyUntil {
		answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 503, NotExecuted: true, Pause: s.pauseNamed}})
		return func() {}
	}
	if sim.random.Float64() < s.shedRate || len(s.waiting) >= s.queueLimit {
		sim.arrivals[s.Service] = append(sim.arrivals[s.Service], a)
		answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 503, NotExecuted: true}})
		return func() {}
	}
	a.ran = true
	if sim.crashing[id] {
		sim.arrivals[s.Service] = append(sim.arrivals[s.Service], a)
		return sim.crashUpstream(s, answer)
	}
	sim.arrivals[s.Service] = append(sim.arrivals[s.Service], a)
	reset := sim.random.Float64() < s.resetRate
	bad := s.badRate > 0 && sim.now >= s.badFrom && sim.random.Float64() < s.badRate
	j := &job{bad: bad, complete: func(waiting int) {
		if bad {
			s.badAnswers = append(s.badAnswers, sim.now)
		}
		if bad && s.slowFactor == 0 {
			answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 500, Stamp: id + s.ID, Waiting: waiting}})
			return
		}
		if reset {
			answer(connectionLost())
			return
		}
		answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 200, Stamp: id + s.ID, Body: s.body(), Waiting: waiting}})
	}}
	j.lose = func() { answer(connectionLost()) }
	s.waiting = append(s.waiting, j)
	s.jobs = append(s.jobs, j)
	sim.startJobs(s)
	return func() {
		if !j.ended {
			sim.endJob(s, j)
		}
	}
}

// withLimit adds the limit of an upstream to its answers.
func (sim *simulation) withLimit(s *fakeUpstream, answer func(gatherer.AttemptEnded)) func(gatherer.AttemptEnded) {
	return func(e gatherer.AttemptEnded) {
		if e.Failure == nil && s.limitPerSecond > 0 && sim.now >= s.limitFrom {
			e.Answer.Limited, e.Answer.LimitPerSecond = true, s.limitPerSecond
		}
		e.Answer.Leaving = e.Failure == nil && s.leavingFrom > 0 && sim.now >= s.leavingFrom
		answer(e)
	}
}

func connectionLost() gatherer.AttemptEnded {
	return gatherer.AttemptEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, nil)}
}

// startJobs starts queued requests while slots are free.
func (sim *simulation) startJobs(s *fakeUpstream) {
	for s.running < s.Slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.ended {
			continue
		}
		s.running++
		j.started = true
		took := s.serviceTime
		if j.bad && s.slowFactor > 0 {
			took *= s.slowFactor
		}
		if s.pauseInterval > 0 {
			if phase := (sim.now + s.pausePhase) % s.pauseInterval; phase < s.pauseLength {
				took += s.pauseLength - phase
			}
		}
		sim.schedule(took, func() {
			if !j.ended {
				sim.endJob(s, j)
				j.complete(len(s.waiting))
			}
		})
	}
}

// endJob releases the slot or queue position of a request, and starts queued requests.
func (sim *simulation) endJob(s *fakeUpstream, j *job) {
	j.ended = true
	if j.started {
		s.running--
	} else {
		kept := s.waiting[:0]
		for _, other := range s.waiting {
			if other != j {
				kept = append(kept, other)
			}
		}
		s.waiting = kept
	}
	sim.startJobs(s)
}
