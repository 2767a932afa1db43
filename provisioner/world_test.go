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

// text returns the text of a document with three failure domains.
func text(seats int, comment string) string {
	return fmt.Sprintf(`{"Environment": "trial", "Seats": %d, "Upstreams": [], "Services": [], // %s
		"Domains": [{"Name": "a", "Region": "r"}, {"Name": "b", "Region": "r"}, {"Name": "c", "Region": "r"}]}`, seats, comment)
}

// world is a fake platform and some daemons in virtual time.
type world struct {
	t        *testing.T
	clock    tiller.Clock
	random   *rand.Rand
	platform *faker.Platform

	mu sync.Mutex
	// faults hold what happens to calls by address.
	faults map[string]fault
	// onPut is called after each write of a document took effect.
	onPut   func()
	daemons []*daemon
}

// fault is what happens to the calls to an address.
type fault int

const (
	noFault fault = iota
	refused
	silent
)

// daemon records what a Provisioner told it.
type daemon struct {
	*Provisioner
	stop    context.CancelFunc
	stopped chan struct{}

	mu      sync.Mutex
	applied []int64
	// held is the seat that the daemon may act under; its Until is 0 without one.
	held HeldSeat
	// cut says that no message reaches the daemon and none leaves it.
	cut atomic.Bool
}

// run runs a test in virtual time.
func run(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, clock: tiller.SystemClock(), random: rand.New(rand.NewPCG(1, 2)), faults: map[string]fault{}}
		p, err := faker.NewPlatform(faker.StoreSettings{}, w.clock)
		require.NoError(t, err)
		w.platform = p
		defer p.Close()
		defer w.stopAll()
		test(t, w)
	})
}

// RoundTrip makes a call of the platform without a socket.
func (w *world) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	w.mu.Lock()
	f, onPut := w.faults[r.URL.Host], w.onPut
	w.mu.Unlock()
	switch f {
	case refused:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case silent:
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	defer func() {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "document") && onPut != nil {
			onPut()
		}
		// The fake loses a reply by a panic, as package net/http expects.
		if cause := recover(); cause != nil || r.Context().Err() != nil {
			resp, err = nil, errors.New("connection lost")
		}
	}()
	rec := httptest.NewRecorder()
	w.platform.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (w *world) setFault(address string, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[address] = f
}

// outage takes the store down or up again.
func (w *world) outage(down bool) {
	w.platform.Store.SetFaults(faker.StoreFaults{Outage: down})
}

// start starts a daemon on the VM vm-i, which is in the failure domain i mod 3.
func (w *world) start(i int) *daemon {
	name := fmt.Sprint("vm-", i)
	w.platform.VMs.Register(platform.VM{Name: name})
	d := &daemon{stopped: make(chan struct{})}
	p, err := New(Config{
		VM: name, Domain: string(rune('a' + i%3)), Environment: "trial", Address: fmt.Sprint("10.0.0.", i, ":1"),
		PlatformAddresses: []string{"one", "two"},
		Client:            &http.Client{Transport: w},
		Clock:             w.clock,
		Log:               logr.Discard(),
		Random:            w.draw,
		FirstSeat:         func(int) int { return i },
		Send:              func(to int, m distributor.Message) { w.send(d, to, m) },
		Apply:             d.apply,
		TakeSeat:              func(h HeldSeat) { d.hold(h) },
		ExtendSeat:            d.extend,
		LeaveSeat:             func() { d.hold(HeldSeat{}) },
	})
	require.NoError(w.t, err)
	d.Provisioner = p
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	go func() {
		defer close(d.stopped)
		p.Run(ctx)
	}()
	return d
}

func (w *world) draw() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Uint64()
}

// send delivers a message to the daemon that holds a seat.
func (w *world) send(from *daemon, to int, m distributor.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		if holding := d.holding(); holding.Until > 0 && holding.Seat == to && !d.cut.Load() && !from.cut.Load() {
			go d.Receive(from.holding().Seat, m)
		}
	}
}

// halt ends a daemon and waits.
func (d *daemon) halt() {
	d.stop()
	<-d.stopped
}

func (w *world) stopAll() {
	for _, d := range w.daemons {
		d.halt()
	}
}

func (d *daemon) apply(doc *tiller.Document) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applied = append(d.applied, doc.Revision)
	return nil
}

func (d *daemon) hold(h HeldSeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = h
}

func (d *daemon) extend(until tiller.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.Until = until
	return true
}

func (d *daemon) holding() HeldSeat {
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
