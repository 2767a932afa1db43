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

// noSeat stands for the seat of a daemon that has none.
const noSeat = -1

// Daemon is one running daemon.
type Daemon struct {
	cfg     Config
	metrics *server.Metrics
	state   *reducer.State
	// leases is nil in a daemon without peers.
	leases *leaseAdapter
	runner *runner.Runner
	dialer *dialer.Dialer

	caller   endpoint
	operator endpoint
	tasks    sync.WaitGroup

	// applyMu is held while a document is put in force; revision is that of the document in force.
	applyMu sync.Mutex
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

// New returns a daemon that listens on its addresses. It takes no work before TakeSeat and Apply.
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

// TakeSeat says that this process holds a seat.
func (d *Daemon) TakeSeat(seat int, incarnation int64) {
	d.runner.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.SeatTaken{Stamp: s, Seat: seat, Incarnation: incarnation}
	})
	d.hasSeat.Store(true)
}

// ExtendSeat moves the time from which this process must no longer act under its seat, which has no end at first.
// It returns false when that time has passed and the daemon has given up the seat.
func (d *Daemon) ExtendSeat(until tiller.Millis) bool {
	held := d.leases == nil
	if d.leases == nil {
		return held
	}
	// A runner that has ended acts under no seat.
	_ = d.runner.View(func() { held = d.leases.extend(d.cfg.Clock.Now(), until) })
	return held
}

// LeaveSeat ends all ownership and voting at once, because the process no longer holds its seat.
func (d *Daemon) LeaveSeat() {
	d.hasSeat.Store(false)
	d.runner.Post(func(s reducer.Stamp) reducer.Event { return reducer.SeatTaken{Stamp: s, Seat: noSeat} })
}

// listen opens both listeners, or none.
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

// build joins reducer, runner and dialer.
func (d *Daemon) build() {
	cfg := runner.Config{Clock: d.cfg.Clock, Count: d.metrics.Count}
	reducerConfig := reducer.Config{}
	if peers := d.cfg.Peers; peers != nil {
		cfg.Forward = peers.Forward
		cfg.SendLease = peers.SendLease
		cfg.Announce = peers.Announce
		cfg.FinishMove = peers.FinishMove
		d.leases = &leaseAdapter{spreadMillis: peers.SpreadMillis, running: func(id tracker.UnitID) int { return d.state.Running(id) }}
		reducerConfig = d.leases.reducerConfig()
	}
	d.state = reducer.New(reducerConfig)
	d.dialer = dialer.New(dialer.Config{
		Clock:     d.cfg.Clock,
		Restarted: func(upstream string, lost bool) { d.runner.Restarted(upstream, lost) },
		Loaded:    func(upstream string, inFlight int, draining bool) { d.runner.Loaded(upstream, inFlight, draining) },
		Count:     d.metrics.Count,
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

// notReadyReason returns why the daemon takes no new work; empty when it does.
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

// Apply puts a document in force and returns when the daemon goes by it. A document whose revision
// is not greater than the one in force changes nothing.
func (d *Daemon) Apply(doc *tiller.Document) error {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if doc.Revision <= d.revision {
		return nil
	}
	// The dialer comes first, so that an attempt for a new address never goes to the old one.
	d.dialer.Apply(dialTargets(doc))
	if err := d.runner.Apply(doc); err != nil {
		return err
	}
	d.revision = doc.Revision
	d.appliedAt.Store(int64(d.cfg.Clock.Now()))
	d.cfg.Logger.Info("document in force", "Environment", doc.Environment, "Revision", doc.Revision)
	return nil
}

// IsReady reports whether the daemon takes callers' work.
func (d *Daemon) IsReady() bool { return d.notReadyReason() == "" }

// Revision returns the revision of the document in force; 0 when there is none.
func (d *Daemon) Revision() int64 {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	return d.revision
}

// Submit runs a query that the seat from has forwarded after redirects redirects.
func (d *Daemon) Submit(ctx context.Context, q tiller.Query, from, redirects int) tiller.Result {
	return d.runner.SubmitFrom(ctx, q, from, redirects)
}

// ReceiveLease hands over a message of the lease protocol from another seat.
func (d *Daemon) ReceiveLease(from int, m reducer.LeasePayload) {
	d.runner.Post(func(s reducer.Stamp) reducer.Event {
		return reducer.LeaseMessage{Stamp: s, From: from, Message: m}
	})
}

// LearnFact hands over a fact that another daemon has announced.
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
