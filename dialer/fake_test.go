package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// waitTimeout bounds each wait in a test; a passing test waits for much less.
const waitTimeout = 5 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeUpstream is an upstream server whose search handler is given by the test.
type fakeUpstream struct {
	search   func(context.Context, *upstream.SearchRequest) (upstream.SearchRes, error)
	searches atomic.Int64
	loads    atomic.Int64
	// open is the number of open connections, maxOpen its maximum so far.
	open    atomic.Int64
	maxOpen atomic.Int64
	address string
}

func (f *fakeUpstream) Search(ctx context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
	f.searches.Add(1)
	return f.search(ctx, r)
}

func (f *fakeUpstream) Health(context.Context) (*upstream.Health, error) {
	return &upstream.Health{Healthy: true, Incarnation: 1}, nil
}

func (f *fakeUpstream) Load(context.Context) (*upstream.Load, error) {
	f.loads.Add(1)
	return &upstream.Load{InFlight: 3, Slots: 4, Draining: true}, nil
}

// echo responds with the identifiers of the request, and with one item that has the remaining time as
// its score and the request's body.
func echo(_ context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
	items := []upstream.Item{{Key: "k", Score: float64(r.DeadlineMillis), Body: r.Body}}
	shards := []upstream.ShardItems{{Shard: r.Shards[0], Items: items}}
	return &upstream.SearchResponse{ID: r.ID, Attempt: r.Attempt, Snapshot: r.Snapshot, Shards: shards, Incarnation: 1}, nil
}

// delayedEcho returns a search handler that responds like echo after d, or fails when the request is
// cancelled.
func delayedEcho(d time.Duration) func(context.Context, *upstream.SearchRequest) (upstream.SearchRes, error) {
	return func(ctx context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
		select {
		case <-time.After(d):
			return echo(ctx, r)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (f *fakeUpstream) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.maxOpen.Store(max(f.maxOpen.Load(), f.open.Add(1)))
	case http.StateClosed, http.StateHijacked:
		f.open.Add(-1)
	}
}

// serveFake starts f, with HTTP/2 unless isHTTP1Only, and returns it.
func serveFake(t *testing.T, f *fakeUpstream, isHTTP1Only bool) *fakeUpstream {
	t.Helper()
	handler, err := upstream.NewServer(f)
	require.NoError(t, err)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(!isHTTP1Only)
	server := &http.Server{Handler: handler, Protocols: protocols, ConnState: f.countConnection}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = l.Addr().String()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return f
}

// proxy forwards bytes between its clients and an upstream. After freeze, the connections that were open
// stay open but carry nothing more.
type proxy struct {
	address  string
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	frozen   []chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: l.Addr().String(), listener: l, target: target}
	var tasks sync.WaitGroup
	tasks.Go(func() { p.accept(&tasks) })
	t.Cleanup(func() {
		l.Close()
		p.freeze()
		for _, c := range p.conns {
			c.Close()
		}
		tasks.Wait()
	})
	return p
}

func (p *proxy) accept(tasks *sync.WaitGroup) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		frozen := make(chan struct{})
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.frozen = append(p.frozen, frozen)
		p.mu.Unlock()
		tasks.Go(func() { copyUntilFrozen(out, in, frozen) })
		tasks.Go(func() { copyUntilFrozen(in, out, frozen) })
	}
}

func copyUntilFrozen(to, from net.Conn, frozen chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		select {
		case <-frozen:
			return
		default:
		}
		if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
			to.Close()
			return
		}
	}
}

// freeze stops forwarding on the connections that are open now, without closing them.
func (p *proxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, frozen := range p.frozen {
		close(frozen)
	}
	p.frozen = nil
}

// testDialer is a Dialer that records its restart and load reports, and whose clock can be advanced.
type testDialer struct {
	*Dialer
	restarts    chan bool
	loads       chan int
	clockOffset atomic.Int64
}

func newTestDialer(t *testing.T, address string, connections int) *testDialer {
	t.Helper()
	return newTestDialerWithSilence(t, address, connections, 0)
}

// newTestDialerWithSilence is newTestDialer with the given Config.SilentMillis.
func newTestDialerWithSilence(t *testing.T, address string, connections int, silent tiller.Millis) *testDialer {
	t.Helper()
	clock := tiller.SystemClock()
	td := &testDialer{restarts: make(chan bool, 100), loads: make(chan int, 100)}
	td.Dialer = New(Config{
		Clock:        tiller.Clock{Now: func() tiller.Millis { return clock.Now() + tiller.Millis(td.clockOffset.Load()) }},
		SilentMillis: silent,
		OnRestart:    func(_ string, lost bool) { td.restarts <- lost },
		OnLoadReport: func(_ string, inFlight int, _ bool) { td.loads <- inFlight },
	})
	td.Apply([]Target{{Name: "u", Address: address, Connections: connections}})
	t.Cleanup(td.Close)
	return td
}

// attempt returns an attempt whose deadline is d from now.
func (td *testDialer) attempt(id tiller.AttemptID, d tiller.Millis) reducer.SendAttempt {
	now := td.cfg.Clock.Now()
	return reducer.SendAttempt{Upstream: "u", ValidUntil: now + tiller.Minute, Request: tiller.SearchRequest{
		ID: "q", Attempt: id, Snapshot: "s1", Shards: []string{"a"}, Body: []byte(`{"x":1}`), Deadline: now + d,
	}}
}

// sendFailure sends an attempt and returns its failure.
func (td *testDialer) sendFailure(t *testing.T, ctx context.Context, a reducer.SendAttempt) *tiller.Failure {
	t.Helper()
	_, err := td.Send(ctx, a)
	var f *tiller.Failure
	require.ErrorAs(t, err, &f)
	return f
}

// rawServer accepts connections and hands each to handle, which owns it.
func rawServer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				defer c.Close()
				handle(c)
				_, _ = io.Copy(io.Discard, c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		tasks.Wait()
	})
	return l.Addr().String()
}
