package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// ErrEnded is returned by calls to a Runner whose goroutine has ended.
var ErrEnded = errors.New("runner has ended")

// Runner feeds events to a reducer and carries out its effects.
type Runner struct {
	cfg Config
	// events carries outcomes of effects and messages; arrivals carries callers' requests.
	// Outcomes go first, because they free the capacity that arrivals ask for.
	events   chan func()
	arrivals chan func()

	baseCtx    context.Context
	cancelBase context.CancelFunc
	// tasks counts the goroutines of attempts and forwards.
	tasks sync.WaitGroup

	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
	stopped   chan struct{}

	loopState
}

// owned is the part of a Runner that only the owner goroutine may touch.
type loopState struct {
	timer *time.Timer
	// pending holds events that arose while effects were carried out.
	pending []func(reducer.Stamp) reducer.Event
	// lastRef is the last reference given to a waiting caller.
	lastRef  uint64
	waiters  map[uint64]*waiter
	tokens   map[uint64]chan reducer.IssueToken
	attempts map[tiller.AttemptID]context.CancelFunc
	forwards map[reducer.ForwardID]context.CancelFunc
	// isStopped says that the reducer emitted Stopped.
	isStopped bool
}

// New returns a running Runner. Stop ends its goroutine.
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

// own is the owner goroutine.
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

// handle runs one event and everything that follows from it at once.
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

// Post hands an event to the owner goroutine. It waits while the queue is full
// and drops the event when the runner has ended. It must not be called from Step or View.
func (r *Runner) Post(build func(reducer.Stamp) reducer.Event) {
	r.schedule(func() { r.handle(build) })
}

// do runs task on the owner goroutine, some time later.
func (r *Runner) schedule(task func()) {
	select {
	case r.events <- task:
	case <-r.done:
	}
}

// View runs f on the owner goroutine and waits for its end. f may read the reducer's state
// and must not change it. The error is ErrEnded when f did not run.
func (r *Runner) View(f func()) error {
	done := make(chan struct{})
	r.schedule(func() {
		defer close(done)
		f()
	})
	return r.await(done)
}

// Apply puts a document in force and waits until the reducer has seen it.
// The error is ErrEnded when it has not.
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

// ReportRestart reports that an upstream may have restarted. It has the form of the dialer's function field.
func (r *Runner) ReportRestart(upstream string, lost bool) {
	r.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.UpstreamRestarted{Stamp: s, Upstream: upstream, Lost: lost}
	})
}

// ReportLoad reports an upstream's own load report. It has the form of the dialer's function field.
func (r *Runner) ReportLoad(upstream string, inFlight int, draining bool) {
	r.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.LoadReported{Stamp: s, Upstream: upstream, InFlight: inFlight, Draining: draining}
	})
}
