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
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/follower"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/receiver"
)

const (
	// sweepMillis is the time between two looks at idle connections.
	sweepMillis = 1000
	// defaultIdleMillis is the time for which a client's idle connection is kept before a
	// configuration names one.
	defaultIdleMillis = 60 * tiller.Second
	// headerMillis bounds the time in which a client sends its header.
	headerMillis = 10 * tiller.Second
	// headerBytes bounds a client's header; the configuration's limit is below it.
	headerBytes = 64 << 10
)

// Gatekeeper is one daemon.
type Gatekeeper struct {
	// settings are those at the start; reloaded holds those in force.
	settings    platform.Settings
	reloaded    atomic.Pointer[platform.Settings]
	log         logr.Logger
	clock       tiller.Clock
	executor    *executor.Executor
	client      *forwarder.Client
	receiver    *receiver.Receiver
	connections *receiver.Connections
	follower    *follower.Follower
	announcer   *follower.Announcer
	observer    *observer
	stopping    atomic.Bool
}

// New returns a daemon with the given settings. droppedLines returns the number of log lines that
// were dropped so far.
func New(s platform.Settings, clock tiller.Clock, log logr.Logger, droppedLines func() int64) *Gatekeeper {
	g := &Gatekeeper{settings: s, log: log, clock: clock, connections: receiver.NewConnections(clock)}
	g.reloaded.Store(&s)
	g.observer = newObserver(log, droppedLines)
	g.client = forwarder.New(clock, platform.RequestID)
	incarnation := time.Now().UnixNano()
	state := gatherer.New(gatherer.Settings{
		VM: s.VM, Domain: s.Domain, Region: s.Region, Power: s.Power, Bounds: s.Bounds,
		Incarnation: incarnation, Seed: xxhash.Sum64String(s.VM) + uint64(incarnation),
	})
	codec := executor.Codec{Outgoing: platform.SetAttempt, Incoming: incoming}
	seams := executor.Observer{Effect: g.observer.effect, Answer: g.observer.answer}
	g.executor = executor.New(clock, g.client, codec, seams, state)
	g.receiver = receiver.New(g.executor, receiver.Codec{
		RequestID: platform.RequestID, Deadline: platform.Deadline, SetGathered: platform.SetGathered,
	}, g.limits, g.observer.refused)
	store := platform.NewStore(s.StoreAddress)
	self := cataloger.Member{
		VM: s.VM, Address: g.peerAddress(), Domain: s.Domain, Region: s.Region, Power: s.Power, Incarnation: incarnation,
	}
	g.announcer = follower.NewAnnouncer(store, log, self)
	g.follower = follower.New(clock, store, g.client, log, s.Regions, self, follower.NewPace(s.NoticeWithin), follower.Seams{Emit: g.executor.Step, Lost: g.announcer.Lost})
	return g
}

// incoming reads an upstream's answer.
func incoming(resp forwarder.Response) gatherer.Answer {
	h := platform.ParseResponse(resp.Status, resp.Header)
	return gatherer.Answer{
		Status:      resp.Status,
		Stamp:       h.Stamp,
		NotExecuted: h.NotExecuted,
		Misdirected: resp.Status == http.StatusMisdirectedRequest,
		Encoded:     resp.Header.Get("Content-Encoding") != "",
		Body:        resp.Body,
		Waiting:     h.Waiting,
	}
}

// peerAddress returns the address at which other daemons reach this one.
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

// IsReady says whether the daemon can serve: it has read the store and is not stopping.
func (g *Gatekeeper) IsReady() bool {
	ready := false
	g.executor.Read(func(s *gatherer.State) { ready = s.IsReady() })
	return ready && !g.stopping.Load()
}

// Run serves until ctx ends, and then stops as planned. It returns an error when an address
// cannot be listened on.
func (g *Gatekeeper) Run(ctx context.Context) error {
	front := &http.Server{
		Handler: g.receiver, ReadHeaderTimeout: headerMillis.Duration(), MaxHeaderBytes: headerBytes,
		ConnState: g.connections.Track, ConnContext: receiver.Mark,
	}
	servers := []struct {
		address string
		server  *http.Server
	}{
		{g.settings.FrontAddress, front},
		{g.settings.ReadyAddress, &http.Server{Handler: g.readiness()}},
		{g.peerAddress(), &http.Server{Handler: g.peers()}},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		go func() { failed <- s.server.Serve(l) }()
	}
	g.log.Info("Daemon started", "VM", g.settings.VM, "Domain", g.settings.Domain, "Region", g.settings.Region)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.follower.Run(background)
	announced := make(chan struct{})
	announcing, withdraw := context.WithCancel(background)
	defer withdraw()
	go func() {
		g.announcer.Run(announcing)
		close(announced)
	}()
	go g.sweep(background)
	settled := time.AfterFunc(gatherer.SettleMillis.Duration(), func() { g.executor.Step(gatherer.FleetSettled{}) })
	defer settled.Stop()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	withdraw()
	g.stop(front)
	<-announced
	return nil
}

// readiness answers the platform's checks.
func (g *Gatekeeper) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	g.observer.handle(mux)
	return mux
}

// peers serves other daemons, and operators who ask for the state of this one.
func (g *Gatekeeper) peers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+executor.GatherPath, g.receiver.ServeSubQuery)
	mux.HandleFunc("GET "+executor.ProbePath, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET "+follower.ChangesPath, g.follower.ServeChanges)
	mux.HandleFunc("GET /v1/status", g.status)
	g.observer.handle(mux)
	return mux
}

// status writes what the daemon knows.
func (g *Gatekeeper) status(w http.ResponseWriter, _ *http.Request) {
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
		g.log.Info("Status was not written", "Cause", err.Error())
	}
}

// sweep closes connections that have been idle for too long.
func (g *Gatekeeper) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepMillis * time.Millisecond)
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
