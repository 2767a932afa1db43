package provisioner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/faker"
)

// documentText returns the text of a document with three failure domains and the given comment.
func documentText(seats int, comment string) string {
	return fmt.Sprintf(`{"Environment": "trial", "Seats": %d, "Upstreams": [], "Services": [], // %s
		"Domains": [{"Name": "a", "Region": "r"}, {"Name": "b", "Region": "r"}, {"Name": "c", "Region": "r"}]}`, seats, comment)
}

// sim is a fake platform and its daemons in virtual time.
type sim struct {
	t        *testing.T
	clock    tiller.Clock
	random   *rand.Rand
	platform *faker.Platform

	mu sync.Mutex
	// faults holds the fault of each address.
	faults map[string]fault
	// afterPut is called after each write of a document, once it has taken effect.
	afterPut func()
	daemons  []*daemon
}

// fault is the way in which calls to an address fail.
type fault int

const (
	noFault fault = iota
	// refused calls fail to connect.
	refused
	// unresponsive calls get no answer until their context ends.
	unresponsive
)

// daemon is a Provisioner and a record of its callbacks.
type daemon struct {
	*Provisioner
	cancel  context.CancelFunc
	stopped chan struct{}

	mu      sync.Mutex
	applied []int64
	// held is the seat that the daemon holds; the zero value without one.
	held HeldSeat
	// isolated is true when messages to and from the daemon are lost.
	isolated atomic.Bool
}

// runSim runs a test in virtual time.
func runSim(t *testing.T, test func(t *testing.T, s *sim)) {
	synctest.Test(t, func(t *testing.T) {
		s := &sim{t: t, clock: tiller.SystemClock(), random: rand.New(rand.NewPCG(1, 2)), faults: map[string]fault{}}
		p, err := faker.NewPlatform(faker.StoreSettings{}, s.clock)
		require.NoError(t, err)
		s.platform = p
		defer p.Close()
		defer s.stopAll()
		test(t, s)
	})
}

// RoundTrip passes a call to the fake platform without a network connection.
func (s *sim) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	s.mu.Lock()
	f, afterPut := s.faults[r.URL.Host], s.afterPut
	s.mu.Unlock()
	switch f {
	case refused:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case unresponsive:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	defer func() {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "document") && afterPut != nil {
			afterPut()
		}
		// The fake platform panics to drop a reply, as net/http handlers do.
		if cause := recover(); cause != nil || r.Context().Err() != nil {
			resp, err = nil, errors.New("connection lost")
		}
	}()
	rec := httptest.NewRecorder()
	s.platform.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (s *sim) setFault(address string, f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[address] = f
}

// setOutage starts or ends an outage of the store.
func (s *sim) setOutage(down bool) {
	s.platform.Store.SetFaults(faker.StoreFaults{Outage: down})
}

// start starts a daemon on the VM vm-i in the failure domain with index i mod 3.
func (s *sim) start(i int) *daemon {
	name := fmt.Sprint("vm-", i)
	s.platform.VMs.Register(platform.VM{Name: name})
	d := &daemon{stopped: make(chan struct{})}
	p, err := New(Config{
		VM: name, Domain: string(rune('a' + i%3)), Environment: "trial", Address: fmt.Sprint("10.0.0.", i, ":1"),
		PlatformAddresses: []string{"one", "two"},
		Client:            &http.Client{Transport: s},
		Clock:             s.clock,
		Log:               logr.Discard(),
		Random:            s.randomUint64,
		FirstSeat:         func(int) int { return i },
		Send:              func(to int, m distributor.Message) { s.send(d, to, m) },
		Apply:             d.apply,
		Hold:              func(h HeldSeat) { d.setHeldSeat(h) },
		ExtendSeat:        d.extendSeat,
		LeaveSeat:         func() { d.setHeldSeat(HeldSeat{}) },
	})
	require.NoError(s.t, err)
	d.Provisioner = p
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	go func() {
		defer close(d.stopped)
		p.Run(ctx)
	}()
	return d
}

func (s *sim) randomUint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Uint64()
}

// send delivers a message to the daemon that holds the seat to.
func (s *sim) send(from *daemon, to int, m distributor.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		if holding := d.heldSeat(); holding.Until > 0 && holding.Seat == to && !d.isolated.Load() && !from.isolated.Load() {
			go d.Receive(from.heldSeat().Seat, m)
		}
	}
}

// stopAndWait stops a daemon and waits until its Run has returned.
func (d *daemon) stopAndWait() {
	d.cancel()
	<-d.stopped
}

func (s *sim) stopAll() {
	for _, d := range s.daemons {
		d.stopAndWait()
	}
}

func (d *daemon) apply(doc *tiller.Document) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applied = append(d.applied, doc.Revision)
	return nil
}

func (d *daemon) setHeldSeat(h HeldSeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = h
}

func (d *daemon) extendSeat(until tiller.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.Until = until
	return true
}

func (d *daemon) heldSeat() HeldSeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

func (d *daemon) revisions() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]int64(nil), d.applied...)
}

// change returns a change of the document.
func change(id string, expected int64, text string) *operator.Change {
	return &operator.Change{Operation: id, Operator: "ada", ExpectedRevision: expected, Text: text}
}
