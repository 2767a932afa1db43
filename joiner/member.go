package joiner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/messenger"
	"github.com/carawaytiller/carawaytiller/provisioner"
)

// noSeat is the seat number of a daemon without a seat.
const noSeat = -1

// Member is a running daemon of a fleet.
type Member struct {
	cfg         Config
	daemon      *assembler.Daemon
	provisioner *provisioner.Provisioner
	messenger   *messenger.Messenger

	// ctx ends when the member is closed.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// seat is the claimed seat, or noSeat.
	seat atomic.Int64
}

// Start returns a daemon that listens on its addresses and obtains a seat and a document in the background.
// It is not ready for work before it has both.
func Start(cfg Config) (*Member, error) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{cfg: cfg, ctx: ctx, cancel: cancel}
	m.seat.Store(noSeat)
	if err := m.listen(); err != nil {
		cancel()
		return nil, err
	}
	m.tasks.Go(func() { m.provisioner.Run(ctx) })
	return m, nil
}

// listen opens the peers' listener and builds the parts of the daemon, which open the other listeners.
func (m *Member) listen() error {
	conn, err := net.ListenPacket("udp", m.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if err := m.build(conn); err != nil {
		_ = conn.Close()
		return err
	}
	return nil
}

// build builds the parts of the daemon. conn is the peers' listener.
func (m *Member) build(conn net.PacketConn) error {
	var err error
	m.provisioner, err = provisioner.New(m.provisionerConfig(conn.LocalAddr().String()))
	if err != nil {
		return err
	}
	m.daemon, err = assembler.New(assembler.Config{
		Clock:           m.cfg.Clock,
		Logger:          m.cfg.Logger,
		CallerAddress:   m.cfg.CallerAddress,
		OperatorAddress: m.cfg.OperatorAddress,
		DrainMillis:     m.cfg.DrainMillis,
		Peers:           m.peers(),
		KnowledgeAge:    m.knowledgeAge,
		Unready:         m.provisioner.Unready,
		GetDocument:     m.provisioner.GetDocument,
		PutDocument:     m.provisioner.PutDocument,
		History:         m.provisioner.History,
	})
	if err != nil {
		return err
	}
	m.messenger, err = messenger.New(m.messengerConfig(conn))
	if err != nil {
		m.daemon.Close()
	}
	return err
}

// Daemon returns the daemon that the member runs.
func (m *Member) Daemon() *assembler.Daemon { return m.daemon }

// Seat returns the claimed seat, or -1 without one.
func (m *Member) Seat() int { return int(m.seat.Load()) }

// Stop performs a planned stop: it finishes work in progress and releases the leases and the seat.
func (m *Member) Stop(ctx context.Context) error {
	err := m.daemon.Stop(ctx)
	// The messages that release the leases may not be sent yet, and Close would discard them.
	err = errors.Join(err, m.messenger.Flush(ctx))
	m.Close()
	// When the store cannot be reached, the seat stays held until its store lease ends. A process on the same VM
	// can claim it before.
	if err := m.provisioner.Release(ctx); err != nil {
		m.cfg.Logger.Error(err, "seat not released")
	}
	return err
}

// Close ends the daemon without waiting for work in progress.
func (m *Member) Close() {
	m.cancel()
	m.daemon.Close()
	_ = m.messenger.Close()
	m.tasks.Wait()
}
