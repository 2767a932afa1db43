package gatherer_test

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/merger"
)

// server is a fake upstream: it runs Slots requests at once, lets queue more wait, and rejects the rest.
type server struct {
	cataloger.Upstream
	work       tiller.Millis
	queue      int
	running    int
	waiting    []*job
	pauseEvery tiller.Millis
	pausePhase tiller.Millis
	pause      tiller.Millis
	silent     bool
	shed       float64
	reset      float64
	requests   []tiller.Millis
	// records are those of the shard; empty stands for two that are all zeros.
	records []byte
}

func (s *server) body() []byte {
	if len(s.records) > 0 {
		return s.records
	}
	return make([]byte, 2*merger.RecordBytes)
}

// job is a request at an upstream.
type job struct {
	ended  bool
	starts bool
	done   func(waiting int)
}

// serve lets a request arrive at an upstream, which answers or says nothing. The function returned
// tells the upstream that nobody waits for the answer any more.
func (w *world) serve(s *server, id string, answer func(gatherer.AttemptEnded)) (cancel func()) {
	if s.silent {
		return func() {}
	}
	a := arrival{at: w.now, id: id, upstream: s.ID}
	s.requests = append(s.requests, w.now)
	if w.random.Float64() < s.shed || len(s.waiting) >= s.queue {
		w.arrivals[s.Service] = append(w.arrivals[s.Service], a)
		answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 503, NotExecuted: true}})
		return func() {}
	}
	a.ran = true
	w.arrivals[s.Service] = append(w.arrivals[s.Service], a)
	reset := w.random.Float64() < s.reset
	j := &job{done: func(waiting int) {
		if reset {
			answer(gatherer.AttemptEnded{Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonConnectionLost, nil)})
			return
		}
		answer(gatherer.AttemptEnded{Answer: gatherer.Answer{Status: 200, Stamp: id + s.ID, Body: s.body(), Waiting: waiting}})
	}}
	s.waiting = append(s.waiting, j)
	w.startJobs(s)
	return func() {
		if !j.ended {
			w.endJob(s, j)
		}
	}
}

// startJobs lets waiting requests run while there are slots.
func (w *world) startJobs(s *server) {
	for s.running < s.Slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.ended {
			continue
		}
		s.running++
		j.starts = true
		took := s.work
		if s.pauseEvery > 0 {
			if phase := (w.now + s.pausePhase) % s.pauseEvery; phase < s.pause {
				took += s.pause - phase
			}
		}
		w.after(took, func() {
			if !j.ended {
				w.endJob(s, j)
				j.done(len(s.waiting))
			}
		})
	}
}

// endJob frees the place of a request.
func (w *world) endJob(s *server, j *job) {
	j.ended = true
	if j.starts {
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
	w.startJobs(s)
}
