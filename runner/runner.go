package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// ErrEnded is returned by calls that did not run because the event loop of the Runner has ended.
var ErrEnded = errors.New("runner has ended")

// Runner passes events to a reducer and executes its effects.
type Runner struct {
	cfg Config
	// events queues outcomes of effects, messages and documents; arrivals queues callers' requests.
	// Events have priority, because outcomes free the capacity that new requests need.
	events   chan func()
	arrivals chan func()

	// baseCtx is the parent context of attempts and forwards.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	// tasks tracks the goroutines of attempts and forwards.
	tasks sync.WaitGroup

	// closing is closed by Close, done when the event loop has ended, stopped when the reducer has emitted Stopped.
	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
	stopped   chan struct{}

	loopState
}

// loopState is the part of a Runner that only the event loop's goroutine may access.
type loopState struct {
	timer *time.Timer
	// pending holds events that were created while effects were executed.
	pending []func(reducer.Stamp) reducer.Event
	// lastRef is the last reference that was assigned to a query or token request.
	lastRef  uint64
	waiters  map[uint64]*waiter
	tokens   map[uint64]chan reducer.IssueToken
	attempts map[tiller.AttemptID]context.CancelFunc
	forwards map[reducer.ForwardID]context.CancelFunc
	// isStopped is true once the reducer has emitted Stopped.
	isStopped bool
}

// New returns a running Runner. Stop or Close ends it.
func New(cfg Config) *Runner {
	cfg = cfg.withDefaults()
	baseCtx, cancelBase := context.WithCancel(context.Background())
	r := &Runner{
		cfg:        cfg,
		events:     make(chan func(), cfg.EventLimit),
		arrivals:   make(chan func(), cfg.ArrivalLimit),
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		closing:    make(chan struct{}),
		done:       make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	r.timer = time.NewTimer(time.Hour)
	r.timer.Stop()
	r.waiters = make(map[uint64]*waiter)
	r.tokens = make(map[uint64]chan reducer.IssueToken)
	r.attempts = make(map[tiller.AttemptID]context.CancelFunc)
	r.forwards = make(map[reducer.ForwardID]context.CancelFunc)
	go r.run()
	return r
}

// run is the event loop. It runs until the Runner is closed.
func (r *Runner) run() {
	defer close(r.done)
	defer r.refuseWaiting()
	for {
		select {
		case task := <-r.events:
			task()
			continue
		case <-r.closing:
			return
		default:
		}
		select {
		case task := <-r.events:
			task()
		case task := <-r.arrivals:
			task()
		case <-r.timer.C:
			r.handle(func(s reducer.Stamp) reducer.Event { return reducer.TimeAdvanced{Stamp: s} })
		case <-r.closing:
			return
		}
	}
}

// handle applies one event and then the pending events that its effects create.
func (r *Runner) handle(build func(reducer.Stamp) reducer.Event) {
	r.step(build)
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.step(next)
	}
	r.pending = nil
}

func (r *Runner) step(build func(reducer.Stamp) reducer.Event) {
	stamp := reducer.Stamp{Now: r.cfg.Clock.Now(), Random: r.cfg.Random()}
	for _, effect := range r.cfg.Step(build(stamp)) {
		r.execute(effect)
	}
}

// Post queues an event for the event loop. It blocks while the queue is full and discards the event
// when the event loop has ended. It must not be called from Step or from the function passed to View,
// which would deadlock on a full queue.
func (r *Runner) Post(build func(reducer.Stamp) reducer.Event) {
	r.schedule(func() { r.handle(build) })
}

// schedule queues task to run on the event loop. It does not wait until task has run.
func (r *Runner) schedule(task func()) {
	select {
	case r.events <- task:
	case <-r.done:
	}
}

// View runs f on the event loop and waits until it has returned. f may read the reducer's state
// and must not change it. View returns ErrEnded when f did not run.
func (r *Runner) View(f func()) error {
	done := make(chan struct{})
	r.schedule(func() {
		defer close(done)
		f()
	})
	return r.await(done)
}

// Apply passes a document to the reducer and waits until the reducer has applied it.
// It returns ErrEnded when the event loop ended first.
func (r *Runner) Apply(doc *tiller.Document) error {
	done := make(chan struct{})
	r.schedule(func() {
		defer close(done)
		r.handle(func(s reducer.Stamp) reducer.Event {
			return reducer.DocumentApplied{Stamp: s, Document: doc}
		})
	})
	return r.await(done)
}

func (r *Runner) await(done chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-r.done:
	}
	select {
	case <-done:
		return nil
	default:
		return ErrEnded
	}
}

// ReportRestart reports that an upstream may have restarted. It has the signature of the dialer's callback.
func (r *Runner) ReportRestart(upstream string, lost bool) {
	r.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.UpstreamRestarted{Stamp: s, Upstream: upstream, Lost: lost}
	})
}

// ReportLoad passes on the load that an upstream reported. It has the signature of the dialer's callback.
func (r *Runner) ReportLoad(upstream string, inFlight int, draining bool) {
	r.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.LoadReported{Stamp: s, Upstream: upstream, InFlight: inFlight, Draining: draining}
	})
}
