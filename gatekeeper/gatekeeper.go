package gatekeeper

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/follower"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/receiver"
)

const (
	// sweepIntervalMillis is the interval between checks for idle connections.
	sweepIntervalMillis = 1000
	// defaultIdleMillis is how long a client's idle connection is kept if no configuration sets a
	// limit.
	defaultIdleMillis = 60 * tiller.Second
	// headerTimeoutMillis limits the time in which a client sends its header.
	headerTimeoutMillis = 10 * tiller.Second
	// maxHeaderBytes limits the size of a client's header. The configured limit is lower.
	maxHeaderBytes = 64 << 10
	// receiveShare is the part of the VM's memory, one in receiveShare, that received messages may take.
	receiveShare = 8
	// defaultReceiveBytes is the limit for received messages if the settings name no memory.
	defaultReceiveBytes = 32 << 20
)

// Gatekeeper is one daemon.
type Gatekeeper struct {
	// settings are the settings at the start, current those after the last reload.
	settings    platform.Settings
	current     atomic.Pointer[platform.Settings]
	log         logr.Logger
	clock       tiller.Clock
	account     *accountant.Account
	executor    *executor.Executor
	client      *forwarder.Client
	receiver    *receiver.Receiver
	connections *receiver.Connections
	follower    *follower.Follower
	announcer   *follower.Announcer
	observer    *observer
	stopping    atomic.Bool
}

// New returns a daemon with the given settings. droppedLines returns the number of log lines that were
// dropped so far.
func New(s platform.Settings, clock tiller.Clock, log logr.Logger, droppedLines func() int64) *Gatekeeper {
	g := &Gatekeeper{settings: s, log: log, clock: clock, connections: receiver.NewConnections(clock)}
	g.current.Store(&s)
	g.observer = newObserver(log, droppedLines)
	g.account = accountant.New(receiveLimit(s.MemoryBytes), g.observer.recordCut)
	g.observer.addHeldGauge(g.account.Held)
	g.client = forwarder.New(clock, g.account, platform.RequestID)
	incarnation := time.Now().UnixNano()
	state := gatherer.New(gatherer.Settings{
		VM: s.VM, Domain: s.Domain, Region: s.Region, Power: s.Power, Bounds: s.Bounds,
		Incarnation: incarnation, Seed: xxhash.Sum64String(s.VM) + uint64(incarnation),
	})
	codec := executor.Codec{Outgoing: platform.SetAttemptHeaders, PerAttempt: platform.IsPerAttempt, Incoming: decodeAnswer}
	store := platform.NewStore(s.StoreAddress, g.account)
	publisher := follower.NewPublisher(store, log)
	hooks := executor.Observer{Effect: g.observer.recordEffect, Answer: g.observer.countAttempt, Publish: publisher.Publish}
	g.executor = executor.New(clock, g.client, codec, hooks, state)
	g.receiver = receiver.New(g.executor, receiver.Codec{
		RequestID: platform.RequestID, Deadline: platform.RequestTimeout, SetGathered: platform.SetGatheredHeaders,
	}, g.account, g.limits, g.observer.recordRejection)
	g.observer.regained = func(silent tiller.Millis) { g.receiver.Rebalance(clock.Now(), silent) }
	self := cataloger.Member{
		VM: s.VM, Address: g.peerAddress(), Domain: s.Domain, Region: s.Region, Power: s.Power, Incarnation: incarnation,
	}
	g.announcer = follower.NewAnnouncer(store, log, self)
	g.follower = follower.New(clock, store, g.client, log, s.Regions, self, s.Seeds, follower.NewTiming(s.ApplyWithin), follower.Callbacks{Emit: g.executor.Step, Lost: g.announcer.EntryRemoved})
	return g
}

// decodeAnswer converts an upstream's response for the gatherer.
func decodeAnswer(resp forwarder.Response) gatherer.Answer {
	h := platform.ParseResponse(resp.Status, resp.Header)
	return gatherer.Answer{
		Status:            resp.Status,
		Stamp:             h.Stamp,
		NotExecuted:       h.NotExecuted,
		UnprovenRejection: h.UnprovenRejection,
		Anonymous:         h.RequestID == "",
		Misdirected:       resp.Status == http.StatusMisdirectedRequest,
		Encoded:           resp.Header.Get("Content-Encoding") != "",
		Body:              resp.Body,
		Waiting:           h.Waiting,
		Limited:           h.Limited,
		LimitPerSecond:    h.LimitPerSecond,
		Leaving:           h.Leaving,
		Pause:             h.Pause,
	}
}

// peerAddress returns the address at which this daemon serves other daemons.
func (g *Gatekeeper) peerAddress() string {
	if g.settings.ControlAddress != "" {
		return g.settings.ControlAddress
	}
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstInternalPort))
}

func (g *Gatekeeper) limits() cataloger.Limits {
	var limits cataloger.Limits
	g.executor.Read(func(s *gatherer.State) {
		if c := s.Configuration(); c != nil {
			limits = c.Limits
		}
	})
	return limits
}

// IsReady reports whether the daemon can serve: it has read the store, has a configuration and
// upstreams, and is not stopping.
func (g *Gatekeeper) IsReady() bool {
	ready := false
	g.executor.Read(func(s *gatherer.State) { ready = s.IsReady(g.clock.Now()) })
	return ready && !g.stopping.Load()
}

// Run serves until ctx ends, and then shuts down gracefully. It returns an error if it cannot listen
// on an address or if a server fails.
func (g *Gatekeeper) Run(ctx context.Context) error {
	front := &http.Server{
		Handler: g.receiver, ReadHeaderTimeout: headerTimeoutMillis.Duration(), MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.connections.Track, ConnContext: g.connections.ConnContext,
	}
	servers := []struct {
		address string
		server  *http.Server
	}{
		{g.settings.FrontAddress, front},
		{g.settings.ReadyAddress, internalServer(g.readinessHandler())},
		{g.peerAddress(), internalServer(g.peerHandler())},
	}
	serveErr := make(chan error, len(servers))
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		go func() { serveErr <- s.server.Serve(accountant.NewListener(l, g.account)) }()
	}
	g.log.Info("Daemon started", "VM", g.settings.VM, "Domain", g.settings.Domain, "Region", g.settings.Region)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.follower.Run(background)
	announcerDone := make(chan struct{})
	announceCtx, cancelAnnounce := context.WithCancel(background)
	defer cancelAnnounce()
	go func() {
		g.announcer.Run(announceCtx)
		close(announcerDone)
	}()
	go g.sweep(background)
	settleTimer := time.AfterFunc(gatherer.SettleMillis.Duration(), func() { g.executor.Step(gatherer.FleetSettled{}) })
	defer settleTimer.Stop()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	cancelAnnounce()
	g.stop(front)
	<-announcerDone
	return nil
}

// internalServer returns a server for the platform, for operators and for other daemons. It has no timeout for headers,
// which would close the connections that other daemons open ahead.
func internalServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes, ConnState: accountant.StateChanged}
}

// receiveLimit returns the limit for received messages on a VM with the given memory. The rest is for the state, for
// connections and for memory that was not collected yet.
func receiveLimit(memoryBytes int64) int64 {
	if memoryBytes == 0 {
		return defaultReceiveBytes
	}
	return memoryBytes / receiveShare
}

// readinessHandler serves the platform's readiness checks and the metrics.
func (g *Gatekeeper) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g.observer.addMetricsHandlers(mux)
	return mux
}

// peerHandler serves the requests of other daemons, and the status and metrics for operators.
func (g *Gatekeeper) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+executor.GatherPath, g.receiver.ServeSubQuery)
	mux.HandleFunc("GET "+executor.ProbePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST "+executor.ReportPath, g.receiver.ServeReport)
	mux.HandleFunc("GET "+follower.ChangesPath, g.follower.ServeChanges)
	mux.HandleFunc("GET /v1/status", g.serveStatus)
	g.observer.addMetricsHandlers(mux)
	return mux
}

// serveStatus writes a summary of the daemon's state.
func (g *Gatekeeper) serveStatus(w http.ResponseWriter, _ *http.Request) {
	report := struct {
		VM                 string
		Version            int64
		Upstreams, Waiting int
		Ready              bool
		Connections        int
	}{VM: g.settings.VM, Ready: g.IsReady(), Connections: g.connections.Open()}
	g.executor.Read(func(s *gatherer.State) {
		report.Version, report.Upstreams, report.Waiting = s.Version(), s.UpstreamCount(), s.ActiveQueries()
	})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		g.log.Info("Status response was not written", "Cause", err.Error())
	}
}

// sweep closes connections that have been idle for too long, until ctx ends.
func (g *Gatekeeper) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepIntervalMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.client.Sweep()
		idle := g.limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleMillis
		}
		g.connections.CloseIdle(idle)
	}
}
