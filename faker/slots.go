package faker

import "slices"

// slots limits the number of requests that run concurrently, with a bounded FIFO queue. It is not synchronized.
type slots struct {
	limit      int
	queueLimit int
	running    int
	queue      []chan struct{}
}

// take takes a slot; the channel is then nil. When no slot is free it queues the caller and returns a channel
// that is closed once a slot is assigned. ok is false when the queue is full, too.
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

// free releases a slot and assigns it to the first waiter in the queue, if there is one.
func (s *slots) free() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	close(s.queue[0])
	s.queue = s.queue[1:]
}

// cancel removes a waiter from the queue, or releases its slot when one was assigned in the meantime.
func (s *slots) cancel(granted chan struct{}) {
	i := slices.Index(s.queue, granted)
	if i < 0 {
		s.free()
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
}
