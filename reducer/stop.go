package reducer

// checkStopped reports the end of a planned stop: nothing accepted is left. The lease of a unit
// is given back as soon as its own work is finished.
func (s *State) checkStopped() {
	if !s.stopping || s.stopped {
		return
	}
	for _, u := range s.unitsWithWork {
		if !u.leaseReleased && u.isIdle() {
			u.leaseReleased = true
			s.release(u)
		}
	}
	if len(s.queries) == 0 && len(s.attempts) == 0 {
		s.stopped = true
		s.emit(Stopped{})
	}
}

func (s *State) release(u *unit) {
	if s.cfg.Release == nil {
		return
	}
	s.leaseVersion++
	s.sendLeases(s.cfg.Release(s.now, u.id))
}

// isIdle says whether a unit has no work here.
func (u *unit) isIdle() bool {
	return u.queue.Len() == 0 && u.parked == 0 && u.running == 0
}
