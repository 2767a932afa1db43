package assembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/dialer"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/runner"
	"github.com/carawaytiller/carawaytiller/server"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// noSeat is the seat number of a daemon that holds no seat.
const noSeat = -1

// Daemon serves queries of callers on one HTTP address and requests of operators on another.
type Daemon struct {
	cfg     Config
	metrics *server.Metrics
	state   *reducer.State
	// leases is nil when the daemon has no peers.
	leases *leaseAdapter
	runner *runner.Runner
	dialer *dialer.Dialer

	caller   endpoint
	operator endpoint
	tasks    sync.WaitGroup

	// applyMu serializes Apply and guards revision, the revision of the document in force; 0 when there is none.
	applyMu  sync.Mutex
	revision int64
	// appliedAt is the time at which the document in force was applied; 0 when there is none.
	appliedAt  atomic.Int64
	hasSeat    atomic.Bool
	isStopping atomic.Bool
}

// endpoint is an HTTP server and its listener.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

// New returns a daemon that listens on both addresses. It takes no work before TakeSeat and Apply.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg.withDefaults(), metrics: server.NewMetrics()}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.build()
	if err := d.serve(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// TakeSeat sets the seat that this process holds, and the incarnation under which it holds it.
func (d *Daemon) TakeSeat(seat int, incarnation int64) {
	d.runner.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.SeatChanged{Stamp: s, Seat: seat, Incarnation: incarnation}
	})
	d.hasSeat.Store(true)
}

// ExtendSeat sets the time from which this process must no longer act under its seat; TakeSeat sets no such time.
// It returns false when the previous time has passed, in which case the daemon has given up the seat.
func (d *Daemon) ExtendSeat(until tiller.Millis) bool {
	held := d.leases == nil
	if d.leases == nil {
		return held
	}
	// View fails when the runner has stopped; the daemon then acts under no seat, and held stays false.
	_ = d.runner.View(func() { held = d.leases.extend(d.cfg.Clock.Now(), until) })
	return held
}

// LeaveSeat ends all ownership and voting immediately, because the process no longer holds its seat.
func (d *Daemon) LeaveSeat() {
	d.hasSeat.Store(false)
	d.runner.Post(func(s reducer.Stamp) reducer.Event { return reducer.SeatChanged{Stamp: s, Seat: noSeat} })
}

// listen opens both listeners. When it fails, neither stays open.
func (d *Daemon) listen() error {
	l, err := net.Listen("tcp", d.cfg.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	d.caller.listener = l
	l, err = net.Listen("tcp", d.cfg.OperatorAddress)
	if err != nil {
		_ = d.caller.listener.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	d.operator.listener = l
	return nil
}

// build creates the reducer state, the runner and the dialer, and connects them.
func (d *Daemon) build() {
	cfg := runner.Config{Clock: d.cfg.Clock, Count: d.metrics.Count}
	reducerConfig := reducer.Config{}
	if peers := d.cfg.Peers; peers != nil {
		cfg.Forward = peers.Forward
		cfg.SendLease = peers.SendLease
		cfg.Announce = peers.Announce
		cfg.FinishMove = peers.FinishMove
		d.leases = &leaseAdapter{propagation: peers.PropagationMillis, running: func(id tracker.UnitID) int { return d.state.Running(id) }}
		reducerConfig = d.leases.reducerConfig()
	}
	d.state = reducer.New(reducerConfig)
	d.dialer = dialer.New(dialer.Config{
		Clock:        d.cfg.Clock,
		OnRestart:    func(upstream string, lost bool) { d.runner.ReportRestart(upstream, lost) },
		OnLoadReport: func(upstream string, inFlight int, draining bool) { d.runner.ReportLoad(upstream, inFlight, draining) },
		Count:        d.metrics.Count,
	})
	cfg.Step = func(e reducer.Event) []reducer.Effect { return reducer.Step(d.state, e) }
	cfg.Send = d.dialer.Send
	d.runner = runner.New(cfg)
}

// serve starts both HTTP servers.
func (d *Daemon) serve() error {
	callers, err := server.NewCaller(server.CallerConfig{
		Clock:    d.cfg.Clock,
		Metrics:  d.metrics,
		Submit:   d.runner.Submit,
		Token:    d.runner.Token,
		Ready:    d.notReadyReason,
		Stopping: d.isStopping.Load,
	})
	if err != nil {
		return err
	}
	operators, err := server.NewOperator(server.OperatorConfig{
		Clock:       d.cfg.Clock,
		Metrics:     d.metrics,
		Status:      d.status,
		Explain:     d.explain,
		GetDocument: d.cfg.GetDocument,
		PutDocument: d.cfg.PutDocument,
		History:     d.cfg.History,
		Ready:       d.notReadyReason,
		Stopping:    d.isStopping.Load,
	})
	if err != nil {
		return err
	}
	d.startServer(&d.caller, callers)
	d.startServer(&d.operator, operators)
	return nil
}

func (d *Daemon) startServer(e *endpoint, handler http.Handler) {
	e.server = server.NewHTTP(handler, d.cfg.Logger)
	d.tasks.Go(func() {
		if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
			d.cfg.Logger.Error(err, "listener failed", "Address", e.listener.Addr().String())
		}
	})
}

// notReadyReason returns why the daemon takes no new work, or "" when it is ready.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.isStopping.Load():
		return "stopping"
	case !d.hasSeat.Load():
		return "no seat"
	case d.appliedAt.Load() == 0:
		return "no document"
	case d.cfg.Unready != nil:
		return d.cfg.Unready()
	}
	return ""
}

// Apply puts a document in force and returns once the reducer has applied it. A document whose
// revision is not greater than the one in force is ignored.
func (d *Daemon) Apply(doc *tiller.Document) error {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if doc.Revision <= d.revision {
		return nil
	}
	// The dialer is updated first, so that no attempt for a new address goes to the old one.
	d.dialer.Apply(dialTargets(doc))
	if err := d.runner.Apply(doc); err != nil {
		return err
	}
	d.revision = doc.Revision
	d.appliedAt.Store(int64(d.cfg.Clock.Now()))
	d.cfg.Logger.Info("document in force", "Environment", doc.Environment, "Revision", doc.Revision)
	return nil
}

// IsReady reports whether the daemon takes new work.
func (d *Daemon) IsReady() bool { return d.notReadyReason() == "" }

// Revision returns the revision of the document in force; 0 when there is none.
func (d *Daemon) Revision() int64 {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	return d.revision
}

// Submit runs a query that the daemon in seat from has forwarded. redirects is the number of redirects so far.
func (d *Daemon) Submit(ctx context.Context, q tiller.Query, from, redirects int) tiller.Result {
	return d.runner.SubmitFrom(ctx, q, from, redirects)
}

// ReceiveLease passes a lease protocol message from another seat to the reducer.
func (d *Daemon) ReceiveLease(from int, m reducer.LeasePayload) {
	d.runner.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.LeaseMessage{Stamp: s, From: from, Message: m}
	})
}

// LearnFact passes a fact that another daemon has announced to the reducer.
func (d *Daemon) LearnFact(key string, version int64, value []byte) {
	d.runner.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.FactLearned{Stamp: s, Key: key, Version: version, Value: value}
	})
}

// CallerAddress returns the address that serves callers.
func (d *Daemon) CallerAddress() string { return d.caller.listener.Addr().String() }

// OperatorAddress returns the address that serves operators.
func (d *Daemon) OperatorAddress() string { return d.operator.listener.Addr().String() }

// Metrics returns the counters of the daemon.
func (d *Daemon) Metrics() *server.Metrics { return d.metrics }
