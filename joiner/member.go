package joiner

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/messenger"
	"github.com/carawaytiller/carawaytiller/syncer"
)

// ErrSeatLost says that the store lease on the seat ended, so that another process may hold the seat.
var ErrSeatLost = errors.New("the lease on the seat ended")

// noSeat stands for the seat of a daemon that has none yet.
const noSeat = -1

// Member is a daemon of a fleet.
type Member struct {
	cfg       Config
	daemon    *assembler.Daemon
	keeper    *keeper.Keeper
	messenger *messenger.Messenger
	claimant  keeper.Claimant

	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup

	// seat is the claimed seat, or noSeat. syncer is set before it.
	seat   atomic.Int64
	syncer atomic.Pointer[syncer.Syncer]
	// lost gets the reason why the daemon must stop.
	lost chan error

	mu   sync.Mutex
	held keeper.Seat
	// bootstrap holds addresses read from the store, used until the fleet's facts arrive.
	bootstrap map[int]string
}

// Start returns a daemon that listens on its addresses and joins its fleet in the background.
// It is ready for work once it has a seat and a document.
func Start(cfg Config) (*Member, error) {
	ctx, end := context.WithCancel(context.Background())
	m := &Member{cfg: cfg, ctx: ctx, end: end, lost: make(chan error, 1), bootstrap: make(map[int]string)}
	m.seat.Store(noSeat)
	m.keeper = keeper.New(keeper.Config{
		Platform:    cfg.Platform,
		Environment: cfg.Environment,
		Clock:       cfg.Clock,
		Sleep:       sleep,
		Random:      rand.Int64N,
	})
	if err := m.open(); err != nil {
		end()
		return nil, err
	}
	m.tasks.Go(m.join)
	return m, nil
}

// open opens the listeners.
func (m *Member) open() error {
	conn, err := net.ListenPacket("udp", m.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	m.claimant = keeper.Claimant{
		VM:      m.cfg.Name,
		Address: conn.LocalAddr().String(),
		Domain:  m.cfg.Domain,
		Nonce:   crand.Text(),
	}
	m.daemon, err = assembler.New(assembler.Config{
		Clock:           m.cfg.Clock,
		Logger:          m.cfg.Logger,
		CallerAddress:   m.cfg.CallerAddress,
		OperatorAddress: m.cfg.OperatorAddress,
		DrainMillis:     m.cfg.DrainMillis,
		Peers:           m.peers(),
		KnowledgeAge:    m.knowledgeAge,
		GetDocument:     m.getDocument,
		PutDocument:     m.putDocument,
	})
	if err != nil {
		_ = conn.Close()
		return err
	}
	m.messenger, err = messenger.New(m.messengerConfig(conn))
	if err != nil {
		m.daemon.Close()
		_ = conn.Close()
		return err
	}
	return nil
}

// Daemon returns the daemon behind the member.
func (m *Member) Daemon() *assembler.Daemon { return m.daemon }

// Seat returns the claimed seat, -1 before.
func (m *Member) Seat() int { return int(m.seat.Load()) }

// Lost gets the reason why the daemon must stop, such as ErrSeatLost.
func (m *Member) Lost() <-chan error { return m.lost }

// Stop stops as planned: work in progress ends, leases and the seat are given back.
func (m *Member) Stop(ctx context.Context) error {
	err := m.daemon.Stop(ctx)
	// The releases of the leases are on their way; Close would discard them.
	err = errors.Join(err, m.messenger.Flush(ctx))
	m.releaseSeat(ctx)
	m.Close()
	return err
}

// releaseSeat frees the seat. Without the store the seat stays held until its lease ends,
// which a process on the same VM need not wait for.
func (m *Member) releaseSeat(ctx context.Context) {
	if m.Seat() == noSeat {
		return
	}
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	if err := m.keeper.Release(ctx, m.claimant, held); err != nil {
		m.cfg.Logger.Error(err, "seat not released", "Seat", held.Number)
	}
}

// Close ends everything at once.
func (m *Member) Close() {
	m.end()
	m.daemon.Close()
	_ = m.messenger.Close()
	m.tasks.Wait()
}

// knowledgeAge returns the time since the revision in force was last known to be the newest; -1 when it never was.
func (m *Member) knowledgeAge() tiller.Millis {
	s := m.syncer.Load()
	if s == nil {
		return -1
	}
	_, age := s.State()
	return age
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d tiller.Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
