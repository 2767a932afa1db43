package messenger

import (
	"context"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/issuer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testSocket counts the packets and bytes that it sends, and can drop the packets of the connections that
// it has carried so far.
type testSocket struct {
	net.PacketConn
	bytes, packets atomic.Int64

	mu       sync.Mutex
	seenIDs  map[string]bool // QUIC connection identifiers
	mutedIDs map[string]bool
}

// WriteTo sends a packet, or drops it if its connection is muted.
func (s *testSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.isMuted(b) {
		return len(b), nil
	}
	s.bytes.Add(int64(len(b)))
	s.packets.Add(1)
	return s.PacketConn.WriteTo(b, to)
}

// isMuted reports whether a packet belongs to a muted connection. Only packets with a short header, which
// are used after the handshake, can be muted: they start with one byte and the 4-byte connection identifier.
func (s *testSocket) isMuted(b []byte) bool {
	if b[0]&0x80 != 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := string(b[1:5])
	s.seenIDs[id] = true
	return s.mutedIDs[id]
}

// mute drops the packets of the present connections from now on.
func (s *testSocket) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mutedIDs, s.seenIDs = s.seenIDs, map[string]bool{}
}

// peer is a daemon on the loopback interface.
type peer struct {
	*Messenger
	socket  *testSocket
	metrics metrics.Registry
	leases  chan tracker.Message
}

func (p *peer) counter(name string) int {
	return int(metrics.GetOrRegisterCounter(name, p.metrics).Count())
}

// fleet is a set of peers that know each other's addresses and trust one authority.
type fleet struct {
	t         *testing.T
	authority *issuer.Authority

	mu        sync.Mutex
	addresses map[int]string
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, authority: newAuthority(t), addresses: map[int]string{}}
}

func newAuthority(t *testing.T) *issuer.Authority {
	authority, err := issuer.NewAuthority("trial", time.Now(), time.Hour)
	require.NoError(t, err)
	return authority
}

// writeKeys writes the key files of a daemon: its certificate is issued by authority, and it trusts peers
// with certificates of trusted.
func writeKeys(t *testing.T, dir string, authority, trusted *issuer.Authority, valid time.Duration) KeyFiles {
	files := KeyFiles{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	require.NoError(t, trusted.Pair().Write(files.Authority, filepath.Join(dir, "ca-key.pem")))
	pair, err := authority.Issue("vm", time.Now(), valid)
	require.NoError(t, err)
	require.NoError(t, pair.Write(files.Certificate, files.Key))
	return files
}

func (f *fleet) keys() *Keys {
	keys, err := LoadKeys(writeKeys(f.t, f.t.TempDir(), f.authority, f.authority, time.Hour))
	require.NoError(f.t, err)
	return keys
}

// start starts a peer. The clock of each peer has a different origin.
func (f *fleet) start(seat int, change func(*Config)) *peer {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(f.t, err)
	p := &peer{
		socket:  &testSocket{PacketConn: conn, seenIDs: map[string]bool{}},
		metrics: metrics.NewRegistry(),
		leases:  make(chan tracker.Message, 10_000),
	}
	origin := tiller.Millis(1_000_000 * (seat + 1))
	begin := time.Now()
	cfg := Config{
		Conn:      p.socket,
		Keys:      f.keys(),
		Clock:     tiller.Clock{Now: func() tiller.Millis { return origin + tiller.FromDuration(time.Since(begin)) }},
		Seat:      func() int { return seat },
		AddressOf: f.addressOf,
		OnLease:   func(_ int, m tracker.Message) { p.leases <- m },
		Metrics:   p.metrics,
	}
	if change != nil {
		change(&cfg)
	}
	p.Messenger, err = New(cfg)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { require.NoError(f.t, p.Close()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[seat] = conn.LocalAddr().String()
	return p
}

func (f *fleet) addressOf(seat int) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address, ok := f.addresses[seat]
	return address, ok
}

// answer is an OnForward handler that answers every query.
func answer(_ context.Context, _ int, f Forward) tiller.Result {
	return tiller.Result{Answer: &tiller.Answer{ID: f.Query.ID, Service: f.Query.Service}}
}

// query returns a query whose deadline is remaining from now by the clock of p.
func (p *peer) query(remaining tiller.Millis) Forward {
	return Forward{Query: tiller.Query{
		ID: "q1", Service: "bulletin", Body: []byte(`{}`), Deadline: p.cfg.Clock.Now() + remaining,
	}}
}

func (p *peer) receiveLease(t *testing.T, within time.Duration) tracker.Message {
	select {
	case m := <-p.leases:
		return m
	case <-time.After(within):
		require.FailNow(t, "no lease message")
		return tracker.Message{}
	}
}
