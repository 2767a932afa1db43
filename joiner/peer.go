package joiner

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/messenger"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// configurationName is the name under which the messages of package distributor travel.
const configurationName = "configuration"

// peers returns what the daemon reaches the others by.
func (m *Member) peers() *assembler.Peers {
	return &assembler.Peers{
		Forward: func(ctx context.Context, f reducer.Forward) (tiller.Result, error) {
			result, failure := m.messenger.Forward(ctx, f.Seat, messenger.Forward{Query: f.Query, Redirects: f.Redirects})
			if failure != nil {
				return tiller.Result{}, failure
			}
			return result, nil
		},
		SendLease:         func(e reducer.SendLease) { m.messenger.SendLease(e.To, e.Message) },
		Announce:          m.announce,
		FinishMove:        m.finishMove,
		PropagationMillis: m.cfg.PropagationMillis,
	}
}

// announce makes a fact known. It runs on a goroutine of its own, because the syncer holds its lock while
// it waits for the daemon to apply a document. The order does not matter: the greater version counts.
func (m *Member) announce(e reducer.Announce) {
	m.tasks.Go(func() {
		m.provisioner.Announce(distributor.Fact{Key: e.Key, Version: e.Version, Value: e.Value})
	})
}

func (m *Member) messengerConfig(conn net.PacketConn) messenger.Config {
	return messenger.Config{
		Conn:      conn,
		Keys:      m.cfg.Keys,
		Clock:     m.cfg.Clock,
		Seat:      m.Seat,
		AddressOf: m.provisioner.AddressOf,
		OnForward: func(ctx context.Context, from int, f messenger.Forward) tiller.Result {
			return m.daemon.Submit(ctx, f.Query, from, f.Redirects)
		},
		OnLease: m.daemon.ReceiveLease,
		OnPush:  m.receivePush,
		Metrics: m.daemon.Metrics().Registry(),
		Log:     m.cfg.Logger,
	}
}

// sendConfiguration sends a message of package distributor; a lost one does no harm.
func (m *Member) sendConfiguration(to int, message distributor.Message) {
	value, err := cbor.Marshal(message)
	if err != nil {
		m.cfg.Logger.Error(err, "configuration message not encoded")
		return
	}
	m.messenger.SendPush(to, messenger.RevisionPush{Name: configurationName, Value: value})
}

func (m *Member) receivePush(from int, p messenger.RevisionPush) {
	if p.Name != configurationName {
		return
	}
	var message distributor.Message
	if err := cbor.Unmarshal(p.Value, &message); err != nil {
		m.daemon.Metrics().Count("configuration_undecodable", "", 1)
		return
	}
	m.provisioner.Receive(from, message)
}
