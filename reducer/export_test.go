package reducer

import tiller "github.com/carawaytiller/carawaytiller"

// NextDue returns the time of the next timer or lease tick, and false if none is due.
func (s *State) NextDue() (tiller.Millis, bool) {
	at := s.nextLeaseTick()
	if s.timers.Len() > 0 && (at == 0 || s.timers.Min().at < at) {
		at = s.timers.Min().at
	}
	return at, at > 0
}
