package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Time limits and intervals, in milliseconds.
const (
	// SilentMillis is the time without received packets after which a connection is closed. It is short
	// enough that, after a lease renewal was answered and the connection then went silent, the renewal
	// 900 ms later uses a new connection, before the lease ends.
	SilentMillis tiller.Millis = 800
	// KeepAliveMillis is the interval of keep-alive packets on a connection without other packets. It is
	// longer than tracker.RenewMillis, so that connections that carry renewals need none.
	KeepAliveMillis tiller.Millis = 350
	// DialMillis is the time-out for opening a connection.
	DialMillis tiller.Millis = 1000
	// DefaultIdleMillis is the time without messages after which a connection is closed.
	DefaultIdleMillis tiller.Millis = 5000
	// LingerMillis is how long the first lease message to a peer waits for others to be sent with it.
	LingerMillis tiller.Millis = 1
	// FlushMillis is how long Flush waits for packets in flight; it allows for one retransmission.
	FlushMillis tiller.Millis = 100
	// messageTimeoutMillis is the time-out for sending or receiving a notice, for receiving a forwarded
	// query, and for sending its reply.
	messageTimeoutMillis tiller.Millis = 2000
)

// Limits of the resources that a daemon holds for its peers.
const (
	// DefaultMaxConnections is the default maximum number of open connections.
	DefaultMaxConnections = 256
	// MaxQueuedLeases is the maximum number of lease messages queued for one peer; when it is exceeded, the
	// oldest message is dropped.
	MaxQueuedLeases = 256
	// maxPendingNotices is the maximum number of notices without lease messages that are being sent.
	maxPendingNotices = 64
	// maxStreams is the maximum number of streams of each kind that a peer may have open on a connection.
	maxStreams = 1000
)

// Names of the counters.
const (
	countSent         = "messenger.sent"
	countReceived     = "messenger.received"
	countUndecodable  = "messenger.dropped.undecodable"
	countTooLarge     = "messenger.dropped.tooLarge"
	countMisaddressed = "messenger.dropped.misaddressed"
	countUnsent       = "messenger.dropped.unsent"
	countMismatched   = "messenger.dropped.mismatched"
	countDialled      = "messenger.connections.dialled"
	countDialFailed   = "messenger.connections.dialFailed"
	countEvicted      = "messenger.connections.evicted"
	countRefused      = "messenger.connections.refused"
)

// Config holds the dependencies and limits of a Messenger. Messages whose handler is nil are dropped, and
// queries are refused if OnForward is nil. Handlers are called concurrently, and all except OnForward must
// return quickly.
type Config struct {
	// Conn is the UDP socket for all connections. The Messenger closes it.
	Conn  net.PacketConn
	Keys  *Keys
	Clock tiller.Clock
	// Seat returns the seat that this process holds, or -1 if it holds none yet.
	Seat func() int
	// AddressOf returns the UDP address of the daemon that holds a seat.
	AddressOf func(seat int) (string, bool)
	// OnForward runs a query for a peer. The context ends when the peer cancels the query or the connection
	// ends.
	OnForward func(ctx context.Context, from int, f Forward) tiller.Result
	OnLease   func(from int, m tracker.Message)
	OnLeaving func(from int, l Leaving)
	OnDigest  func(from int, d RevisionDigest)
	OnPush    func(from int, p RevisionPush)
	// Metrics is the registry for the counters; nil means a new registry.
	Metrics metrics.Registry
	Log     logr.Logger
	// MaxConnections is the maximum number of open connections; 0 means DefaultMaxConnections.
	MaxConnections int
	// IdleMillis is the time without messages after which a connection is closed; 0 means DefaultIdleMillis.
	IdleMillis tiller.Millis
}

// Messenger exchanges messages with other daemons. It is safe for concurrent use.
type Messenger struct {
	cfg         Config
	ctx         context.Context
	cancel      context.CancelFunc
	transport   *quic.Transport
	listener    *quic.Listener
	conns       *connTable
	dials       singleflight.Group
	noticeSlots chan struct{}

	mu          sync.Mutex
	closed      bool
	closeOnce   sync.Once
	leaseQueues map[int][]tracker.Message
	tasks       sync.WaitGroup
}

// New returns a Messenger that accepts connections on cfg.Conn. Call Close to release its resources.
func New(cfg Config) (*Messenger, error) {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.IdleMillis == 0 {
		cfg.IdleMillis = DefaultIdleMillis
	}
	m := &Messenger{
		cfg:         cfg,
		transport:   &quic.Transport{Conn: cfg.Conn},
		conns:       newConnTable(cfg.MaxConnections),
		noticeSlots: make(chan struct{}, maxPendingNotices),
		leaseQueues: map[int][]tracker.Message{},
	}
	listener, err := m.transport.Listen(cfg.Keys.listenerConfig(), quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	m.listener = listener
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.spawn(m.accept)
	m.spawn(m.closeIdle)
	return m, nil
}

// Close closes all connections and waits until the Messenger's goroutines have ended.
func (m *Messenger) Close() error {
	var err error
	m.closeOnce.Do(func() {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.cancel()
		err = m.listener.Close()
		m.conns.closeAll()
		err = errors.Join(err, m.transport.Close())
		m.tasks.Wait()
		err = errors.Join(err, m.cfg.Conn.Close())
	})
	return err
}

// Connections returns the number of open connections.
func (m *Messenger) Connections() int {
	return m.conns.count()
}

// spawn runs f on a goroutine that Close waits for. It returns false, without running f, after Close.
func (m *Messenger) spawn(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(f)
	return true
}

func (m *Messenger) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, m.cfg.Metrics).Inc(int64(n))
}

// closeIdle closes idle connections periodically until the Messenger is closed.
func (m *Messenger) closeIdle() {
	ticker := time.NewTicker((m.cfg.IdleMillis / 4).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.conns.closeUnused(m.cfg.Clock.Now() - m.cfg.IdleMillis)
		}
	}
}

// quicConfig returns the QUIC configuration of every connection. Path MTU discovery is disabled, because most
// connections of a large fleet carry less data than its probe packets would.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  DialMillis.Duration(),
		MaxIdleTimeout:        SilentMillis.Duration(),
		KeepAlivePeriod:       KeepAliveMillis.Duration(),
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,

		DisablePathMTUDiscovery: true,
	}
}
