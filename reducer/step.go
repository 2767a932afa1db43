package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// Step handles one event and returns the effects to carry out, in order. The caller owns the returned slice.
func Step(s *State, e Event) []Effect {
	s.beginStep(e)
	s.handle(e)
	s.tickLeases()
	s.fireTimers()
	s.processDirtyUnits()
	s.checkStopped()
	s.scheduleWake()
	return s.takeEffects()
}

func (s *State) beginStep(e Event) {
	s.now = max(s.now, e.At())
	s.leaseVersion++
	// TimeAdvanced uses up the outstanding Wake, also if it comes before its time.
	if _, fired := e.(TimeAdvanced); fired || s.wakeAt <= s.now {
		s.wakeAt = 0
	}
}

func (s *State) handle(e Event) {
	switch e := e.(type) {
	case QueryArrived:
		s.seedRandom(e.Stamp)
		s.onQuery(e)
	case CallerGone:
		s.seedRandom(e.Stamp)
		s.onCallerGone(e)
	case TokenRequested:
		s.seedRandom(e.Stamp)
		s.onTokenRequested(e)
	case ResponseArrived:
		s.seedRandom(e.Stamp)
		s.onResponse(e)
	case AttemptFailed:
		s.seedRandom(e.Stamp)
		s.onAttemptFailed(e)
	case UpstreamRestarted:
		s.seedRandom(e.Stamp)
		s.onRestarted(e)
	case LoadReported:
		s.seedRandom(e.Stamp)
		s.onLoad(e)
	case DocumentApplied:
		s.seedRandom(e.Stamp)
		s.onDocument(e)
	default:
		s.handlePeer(e)
	}
}

func (s *State) handlePeer(e Event) {
	switch e := e.(type) {
	case PeerReply:
		s.seedRandom(e.Stamp)
		s.onPeerReply(e)
	case PeerFailed:
		s.seedRandom(e.Stamp)
		s.onPeerFailed(e)
	case SeatChanged:
		s.seedRandom(e.Stamp)
		s.onSeatChanged(e)
	case LeaseMessage:
		s.seedRandom(e.Stamp)
		s.onLeaseMessage(e)
	case FactLearned:
		s.seedRandom(e.Stamp)
		s.onFact(e)
	case WarmStateReceived:
		s.seedRandom(e.Stamp)
		s.onWarmState(e)
	case StopRequested:
		s.seedRandom(e.Stamp)
		s.stopping = true
	case TimeAdvanced:
		s.seedRandom(e.Stamp)
	}
}

func (s *State) seedRandom(stamp Stamp) { s.random.Seed(stamp.Random, 0) }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// takeEffects returns the effects of the step, followed by the counters that it changed.
func (s *State) takeEffects() []Effect {
	for _, c := range s.counts {
		s.emit(c)
	}
	s.counts = s.counts[:0]
	effects := s.effects
	s.effects = nil
	return effects
}

// count adds n to a counter. Each step emits at most one Count per counter and label.
func (s *State) count(name string, label tiller.Reason, n int64) {
	for i := range s.counts {
		if s.counts[i].Name == name && s.counts[i].Label == label {
			s.counts[i].N += n
			return
		}
	}
	s.counts = append(s.counts, Count{Name: name, Label: label, N: n})
}
