package faker

import "slices"

// slots bounds the requests that run at once, with a short queue in order of arrival.
type slots struct {
	limit      int
	queueLimit int
	running    int
	queue      []chan struct{}
}

// take takes a slot. When none is free it returns a channel that is closed once the slot is given,
// and ok is false when the queue is full, too.
func (s *slots) take() (granted chan struct{}, ok bool) {
	if s.running < s.limit {
		s.running++
		return nil, true
	}
	if len(s.queue) >= s.queueLimit {
		return nil, false
	}
	granted = make(chan struct{})
	s.queue = append(s.queue, granted)
	return granted, true
}

// free gives a slot back, to the first of the queue if there is one.
func (s *slots) free() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

// cancel gives up waiting for turn, or gives the slot back when it was given meanwhile.
func (s *slots) cancel(granted chan struct{}) {
	i := slices.Index(s.queue, granted)
	if i < 0 {
		s.free()
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
}
