package reducer

// checkStopped emits Stopped when a planned stop has finished: no accepted query and no attempt is left.
// The lease of each unit is released as soon as the work of that unit is finished.
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

// isIdle reports whether this daemon has no query of a unit in progress.
func (u *unit) isIdle() bool {
	return u.queue.Len() == 0 && u.parked == 0 && u.running == 0
}
