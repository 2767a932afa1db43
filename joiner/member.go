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

// noSeat stands for the seat of a daemon that has none.
const noSeat = -1

// Member is a daemon of a fleet.
type Member struct {
	cfg         Config
	daemon      *assembler.Daemon
	provisioner *provisioner.Provisioner
	messenger   *messenger.Messenger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// seat is the claimed seat, or noSeat.
	seat atomic.Int64
}

// Start returns a daemon that listens on its addresses and joins its fleet in the background.
// It is ready for work once it has a seat and a document.
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

// open opens the listeners.
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

// assemble builds the parts of the daemon.
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

// Daemon returns the daemon behind the member.
func (m *Member) Daemon() *assembler.Daemon { return m.daemon }

// Seat returns the claimed seat, -1 without one.
func (m *Member) Seat() int { return int(m.seat.Load()) }

// Stop stops as planned: work in progress ends, leases and the seat are given back.
func (m *Member) Stop(ctx context.Context) error {
	err := m.daemon.Stop(ctx)
	// The releases of the leases are on their way; Close would discard them.
	err = errors.Join(err, m.messenger.Flush(ctx))
	m.Close()
	// Without the store the seat stays held until its lease ends, which a process on the same VM need not wait for.
	if err := m.provisioner.Release(ctx); err != nil {
		m.cfg.Logger.Error(err, "seat not released")
	}
	return err
}

// Close ends everything at once.
func (m *Member) Close() {
	m.cancel()
	m.daemon.Close()
	_ = m.messenger.Close()
	m.tasks.Wait()
}
