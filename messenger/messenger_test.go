package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// TestForward guards against a result or a deadline that changes in transit, and against the verdict
// NotRun for a query that may have run.
func TestForward(t *testing.T) {
	f := newFleet(t)
	got := make(chan Forward, 1)
	ended := make(chan struct{}, 1)
	b := f.start(1, nil)
	b.cfg.OnForward = func(ctx context.Context, from int, q Forward) tiller.Result {
		if from != 0 {
			return refusal(q.Query.ID, tiller.ReasonInternal)
		}
		got <- q
		switch q.Query.Route {
		case "wait":
			<-ctx.Done()
			ended <- struct{}{}
		case "mismatch":
			q.Query.ID = "other"
		case "large":
			return tiller.Result{Answer: &tiller.Answer{ID: q.Query.ID, Snapshot: string(make([]byte, MaxMessageBytes))}}
		}
		return answer(ctx, from, q)
	}
	a := f.start(0, nil)
	f.addresses[2] = b.socket.LocalAddr().String()
	f.addresses[3] = "127.0.0.1:1"
	tests := map[string]struct {
		to      int
		change  func(*Forward)
		cancel  bool
		verdict tiller.Verdict
		reason  tiller.Reason
		runs    bool
	}{
		"Deadline":     {to: 1, change: func(f *Forward) { f.Query.Route = "wait" }, verdict: tiller.MayHaveRun, reason: tiller.ReasonTimeout, runs: true},
		"Cancelled":    {to: 1, change: func(f *Forward) { f.Query.Route = "wait" }, cancel: true, verdict: tiller.MayHaveRun, reason: tiller.ReasonCancelled, runs: true},
		"Mismatch":     {to: 1, change: func(f *Forward) { f.Query.Route = "mismatch" }, verdict: tiller.MayHaveRun, reason: tiller.ReasonMismatch, runs: true},
		"LargeReply":   {to: 1, change: func(f *Forward) { f.Query.Route = "large" }, verdict: tiller.MayHaveRun, reason: tiller.ReasonConnectionLost, runs: true},
		"LargeQuery":   {to: 1, change: func(f *Forward) { f.Query.Body = make([]byte, MaxMessageBytes) }, verdict: tiller.NotRun, reason: tiller.ReasonBadRequest},
		"DeadlinePast": {to: 1, change: func(f *Forward) { f.Query.Deadline = 0 }, verdict: tiller.NotRun, reason: tiller.ReasonDeadlinePast},
		"UnknownSeat":  {to: 9, verdict: tiller.NotRun, reason: tiller.ReasonConnectFailed},
		"Unreachable":  {to: 3, verdict: tiller.NotRun, reason: tiller.ReasonTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			q := a.query(500)
			if c.change != nil {
				c.change(&q)
			}
			if c.cancel {
				// Cancel only after the peer has received the query; before that, NotRun would be correct.
				go func() {
					for len(got) == 0 && ctx.Err() == nil {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			_, failure := a.Forward(ctx, c.to, q)
			require.NotNil(t, failure)
			require.Equal(t, c.verdict, failure.Verdict, failure)
			require.Equal(t, c.reason, failure.Reason, failure)
			require.Equal(t, c.runs, len(got) == 1)
			if c.runs {
				<-got
			}
			if q.Query.Route == "wait" {
				<-ended
			}
		})
	}
	result, failure := a.Forward(t.Context(), 1, a.query(500))
	require.Nil(t, failure)
	require.Equal(t, &tiller.Answer{ID: "q1", Service: "bulletin"}, result.Answer)
	remaining := (<-got).Query.Deadline - b.cfg.Clock.Now()
	require.InDelta(t, 500, int64(remaining), 100)
	result, failure = a.Forward(t.Context(), 2, a.query(500))
	require.Nil(t, failure)
	require.Equal(t, tiller.ReasonNotOwner, result.Refusal.Reason, "the daemon at the address holds another seat")
	require.Empty(t, got)
}

// TestForwardEndsWithConnection guards against a query that keeps running, or a caller that keeps waiting,
// after either side has closed the connection.
func TestForwardEndsWithConnection(t *testing.T) {
	f := newFleet(t)
	running, ended := make(chan struct{}), make(chan struct{})
	b := f.start(1, func(c *Config) {
		c.OnForward = func(ctx context.Context, _ int, q Forward) tiller.Result {
			running <- struct{}{}
			<-ctx.Done()
			ended <- struct{}{}
			return refusal(q.Query.ID, tiller.ReasonCancelled)
		}
	})
	for _, stop := range []func(a *peer){
		func(a *peer) { a.conns.closeAll() },
		func(*peer) { b.conns.closeAll() },
	} {
		a := f.start(0, nil)
		failed := make(chan *tiller.Failure)
		go func() {
			_, failure := a.Forward(context.Background(), 1, a.query(10_000))
			failed <- failure
		}()
		<-running
		stop(a)
		failure := <-failed
		require.Equal(t, tiller.MayHaveRun, failure.Verdict)
		require.Equal(t, tiller.ReasonConnectionLost, failure.Reason)
		<-ended
	}
}

// TestUntrustedPeer guards against exchanging messages with a daemon that has no valid certificate of a
// trusted authority.
func TestUntrustedPeer(t *testing.T) {
	f := newFleet(t)
	b := f.start(1, func(c *Config) { c.OnForward = answer })
	files := writeKeys(t, t.TempDir(), f.authority, f.authority, time.Hour)
	foreign, err := newAuthority(t).Issue("vm", time.Now(), time.Hour)
	require.NoError(t, err)
	expired, err := f.authority.Issue("vm", time.Now().Add(-2*time.Hour), time.Hour)
	require.NoError(t, err)
	valid, err := LoadKeys(files)
	require.NoError(t, err)

	for name, pair := range map[string][2][]byte{
		"NoCertificate": {}, "OtherAuthority": {foreign.Certificate, foreign.Key}, "Expired": {expired.Certificate, expired.Key},
	} {
		t.Run(name, func(t *testing.T) {
			config := valid.handshakeConfig()
			config.Certificates = nil
			if pair[0] != nil {
				cert, err := tls.X509KeyPair(pair[0], pair[1])
				require.NoError(t, err)
				config.Certificates = []tls.Certificate{cert}
			}
			conn, err := quic.DialAddr(t.Context(), b.socket.LocalAddr().String(), config, quicConfig())
			if err == nil {
				_, err = exchange(t, conn, validForward(t))
			}
			require.Error(t, err)
			require.Zero(t, b.Connections())
			require.Zero(t, b.counter(countReceived))
		})
	}
	untrusted := newFleet(t)
	untrusted.addresses = f.addresses
	_, failure := untrusted.start(0, nil).Forward(t.Context(), 1, Forward{Query: tiller.Query{Deadline: 1 << 40}})
	require.Equal(t, tiller.NotRun, failure.Verdict)
}

func validForward(t *testing.T) []byte {
	b, err := encode(forwardRequest{To: 1, Query: tiller.Query{ID: "q1"}, RemainingMillis: 1000})
	require.NoError(t, err)
	return b
}

// exchange sends a request on a new stream and returns the reply.
func exchange(t *testing.T, conn *quic.Conn, request []byte) ([]byte, error) {
	stream, err := conn.OpenStreamSync(t.Context())
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write(request); err == nil {
		_ = stream.Close()
	}
	return readMessage(stream)
}

// TestMalformedMessages guards against a message that cannot be decoded or is too large, and that ends the
// connection, runs a query or is not counted.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(t)
	b := f.start(1, func(c *Config) { c.OnForward = answer })
	conn, err := quic.DialAddr(t.Context(), b.socket.LocalAddr().String(), f.keys().handshakeConfig(), quicConfig())
	require.NoError(t, err)
	defer func() { _ = conn.CloseWithError(0, "") }()
	bad := [][]byte{{}, {Version}, {Version + 1, 0xa0}, append([]byte{Version}, "garbage"...), {Version, 0x9b, 255, 255, 255, 255, 255, 255, 255, 255}}
	large := make([]byte, MaxMessageBytes+1)
	for _, request := range append(bad, large) {
		_, err := exchange(t, conn, request)
		require.Equal(t, tiller.NotRun, replyFailure(t.Context(), err).Verdict, err)
		stream, err := conn.OpenUniStreamSync(t.Context())
		require.NoError(t, err)
		_, _ = stream.Write(request)
		_ = stream.Close()
	}
	require.Eventually(t, func() bool {
		return b.counter(countUndecodable) == 2*len(bad) && b.counter(countTooLarge) == 2
	}, 2*time.Second, 10*time.Millisecond)
	reply, err := exchange(t, conn, validForward(t))
	require.NoError(t, err)
	require.NoError(t, decode(reply, &forwardReply{}))
	require.Equal(t, 1, b.counter(countReceived))
}

// TestSilentConnectionIsReplaced guards against further use of a connection that no longer carries packets,
// while a new connection would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	unblock := make(chan struct{})
	b := f.start(1, func(c *Config) {
		c.OnForward = func(_ context.Context, _ int, q Forward) tiller.Result {
			<-unblock
			return refusal(q.Query.ID, tiller.ReasonCancelled)
		}
	})
	defer close(unblock)
	a := f.start(0, nil)
	a.SendLease(1, tracker.Message{SentAt: 1})
	b.receiveLease(t, time.Second)
	failed := make(chan *tiller.Failure, 1)
	go func() {
		_, failure := a.Forward(context.Background(), 1, a.query(10_000))
		failed <- failure
	}()
	time.Sleep(100 * time.Millisecond)
	a.socket.mute()
	b.socket.mute()
	silent := time.Now()
	for len(b.leases) == 0 {
		a.SendLease(1, tracker.Message{SentAt: 2})
		time.Sleep(50 * time.Millisecond)
		require.Less(t, time.Since(silent), 3*time.Second)
	}
	elapsed := time.Since(silent)
	failure := <-failed
	require.Equal(t, tiller.MayHaveRun, failure.Verdict)
	require.Equal(t, tiller.ReasonSilent, failure.Reason)
	t.Logf("a new connection carried messages %d ms after the old one went silent", elapsed.Milliseconds())
	require.Less(t, elapsed, 2*time.Second)
}

// TestKeysReload guards against keys that can only be changed by a restart, and against a partly written
// change that leaves the daemon without valid keys.
func TestKeysReload(t *testing.T) {
	f := newFleet(t)
	dir := t.TempDir()
	files := writeKeys(t, dir, f.authority, f.authority, time.Hour)
	keys, err := LoadKeys(files)
	require.NoError(t, err)
	first := keys.Expires()
	f.start(1, func(c *Config) { c.OnForward, c.Keys = answer, keys })
	a := f.start(0, nil)
	_, failure := a.Forward(t.Context(), 1, a.query(500))
	require.Nil(t, failure)

	other, err := f.authority.Issue("vm", time.Now(), 3*time.Hour)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files.Certificate, other.Certificate, 0o600))
	require.Error(t, keys.LoadError(), "the key does not match the new certificate yet")
	require.Equal(t, first, keys.Expires())
	require.NoError(t, os.WriteFile(files.Key, other.Key, 0o600))
	require.NoError(t, keys.LoadError())
	require.Greater(t, keys.Expires(), first.Add(time.Hour))

	writeKeys(t, dir, newAuthority(t), f.authority, time.Hour)
	require.Error(t, keys.LoadError(), "the certificate was not issued by the authority")
	require.NoError(t, os.Remove(files.Key))
	require.Error(t, keys.LoadError())
	a.conns.closeAll()
	require.Eventually(t, func() bool { return a.Connections() == 0 }, time.Second, time.Millisecond)
	_, failure = a.Forward(t.Context(), 1, a.query(500))
	require.Nil(t, failure)
	_, err = LoadKeys(files)
	require.Error(t, err)
}

// TestConnectionLimit guards against a number of open connections that grows with the fleet, messages that
// are lost because of the limit, and a connection in use that is closed to make room.
func TestConnectionLimit(t *testing.T) {
	f := newFleet(t)
	a := f.start(0, func(c *Config) { c.MaxConnections, c.IdleMillis = 3, 400 })
	running, finish := make(chan struct{}), make(chan struct{})
	f.start(1, func(c *Config) {
		c.OnForward = func(ctx context.Context, from int, q Forward) tiller.Result {
			running <- struct{}{}
			<-finish
			return answer(ctx, from, q)
		}
	})
	result := make(chan *tiller.Failure)
	go func() {
		_, failure := a.Forward(context.Background(), 1, a.query(10_000))
		result <- failure
	}()
	<-running
	for seat := 2; seat < 10; seat++ {
		b := f.start(seat, nil)
		a.SendLease(seat, tracker.Message{Seat: seat})
		require.Equal(t, seat, b.receiveLease(t, 2*time.Second).Seat)
		require.LessOrEqual(t, a.Connections(), 3)
	}
	require.Equal(t, 6, a.counter(countEvicted))
	require.Eventually(t, func() bool { return a.Connections() == 1 }, 2*time.Second, 10*time.Millisecond, "idle connections must be closed")
	finish <- struct{}{}
	require.Nil(t, <-result)
}

// TestNotices guards against notices that are lost without a network fault, lease messages that each use a
// stream, messages that a stopping daemon does not deliver, and accepting a notice for an earlier holder of
// the address.
func TestNotices(t *testing.T) {
	f := newFleet(t)
	leaving, digests, pushes := make(chan Leaving, 1), make(chan RevisionDigest, 1), make(chan RevisionPush, 1)
	b := f.start(1, func(c *Config) {
		c.OnLeaving = func(_ int, l Leaving) { leaving <- l }
		c.OnDigest = func(_ int, d RevisionDigest) { digests <- d }
		c.OnPush = func(_ int, p RevisionPush) { pushes <- p }
	})
	a := f.start(0, nil)
	push := RevisionPush{Name: "document", Revision: 7, Value: make([]byte, MaxMessageBytes-100)}
	a.SendPush(1, push)
	require.Equal(t, push, <-pushes)
	a.SendDigest(1, RevisionDigest{Revisions: map[string]int64{"document": 7}})
	require.Equal(t, int64(7), (<-digests).Revisions["document"])
	sent := a.counter(countSent)
	for i := range 100 {
		a.SendLease(1, tracker.Message{Kind: tracker.Grant, SentAt: tiller.Millis(i)})
	}
	a.SendLeaving(1, Leaving{Seat: 0, Incarnation: 4})
	require.NoError(t, a.Flush(t.Context()))
	require.NoError(t, a.Close())
	require.Equal(t, Leaving{Seat: 0, Incarnation: 4}, <-leaving)
	received := map[tiller.Millis]bool{}
	for range 100 {
		received[b.receiveLease(t, time.Second).SentAt] = true
	}
	require.Len(t, received, 100)
	require.Less(t, a.counter(countSent)-sent, 20)

	c := f.start(2, nil)
	f.mu.Lock()
	f.addresses[3] = b.socket.LocalAddr().String()
	f.mu.Unlock()
	c.SendLease(3, tracker.Message{})
	require.NoError(t, c.Flush(t.Context()))
	require.Equal(t, 1, b.counter(countMisaddressed))
	require.Empty(t, b.leases)
}

// TestBytesOnTheWire measures the bytes that connections and lease messages take on the wire, including IP and
// UDP headers of 28 bytes per packet. It guards against keep-alive traffic above 1000 bytes per second from an
// unused connection.
func TestBytesOnTheWire(t *testing.T) {
	f := newFleet(t)
	b := f.start(1, nil)
	a := f.start(0, nil)
	cost := func(p *peer) int64 { return p.socket.bytes.Load() + 28*p.socket.packets.Load() }
	a.SendLease(1, tracker.Message{})
	b.receiveLease(t, time.Second)
	time.Sleep(time.Second)
	t.Logf("opening a connection: %d bytes to the peer and %d back", cost(a), cost(b))
	a0, b0 := cost(a), cost(b)
	renewal := tracker.Message{
		Kind: tracker.Request, Unit: tracker.UnitID{Service: "casework-desk-07"}, Epoch: 1 << 60, Seat: 7399,
		Incarnation: 90_000, SentAt: 1 << 40, Length: tracker.LeaseMillis, Renewal: true, Settled: true,
	}
	for range 10 {
		a.SendLease(1, renewal)
		b.receiveLease(t, time.Second)
		b.SendLease(0, renewal)
		a.receiveLease(t, time.Second)
		time.Sleep(tracker.RenewMillis.Duration())
	}
	t.Logf("a renewal with its reply: %d bytes to the peer and %d back", (cost(a)-a0)/10, (cost(b)-b0)/10)
	a0, b0 = cost(a), cost(b)
	time.Sleep(2 * time.Second)
	t.Logf("an unused connection: %d bytes a second to the peer and %d back", (cost(a)-a0)/2, (cost(b)-b0)/2)
	require.Less(t, cost(a)-a0, int64(2000))
}

// TestClosedSocket guards against a closed socket that neither New nor Close reports.
func TestClosedSocket(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	m, err := New(Config{Conn: conn, Keys: newFleet(t).keys(), Clock: tiller.FixedClock(0), Seat: func() int { return 0 }})
	if err == nil {
		require.Error(t, m.Close())
	}
}
