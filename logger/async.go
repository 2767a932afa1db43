package logger

import (
	"io"
	"sync/atomic"
)

// Async is a writer that never blocks: lines wait in a bounded queue for a goroutine that writes
// them, and lines that find it full are dropped and counted.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsync returns an Async that writes to w and holds at most size lines.
func NewAsync(w io.Writer, size int) *Async {
	a := &Async{lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

// run writes lines until Close, and then those that still wait.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			// There is nowhere to report that the log itself cannot be written.
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

// Write queues a copy of line. It never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the lines that wait and ends the goroutine. Lines that come later are dropped.
func (a *Async) Close() {
	close(a.closing)
	<-a.done
}
