package logger

import (
	"io"
	"sync/atomic"
)

// Async is a writer whose Write never blocks. Lines wait in a bounded queue for a goroutine that
// writes them. When the queue is full, lines are dropped and counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsync returns an Async that writes to w and queues at most size lines.
func NewAsync(w io.Writer, size int) *Async {
	a := &Async{lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run writes lines until Close, and then the lines that are still queued.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			// The error is ignored, because a failed write of the log has no other place to be reported.
			_, _ = w.Write(line)
			continue
		case <-a.closing:
		}
		break
	}
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// Write queues a copy of line, or drops it when the queue is full. It never returns an error.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far because the queue was full.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Lines passed to Write later are not written.
func (a *Async) Close() {
	close(a.closing)
	<-a.done
}
