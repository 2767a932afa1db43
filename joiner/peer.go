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

// configurationName is the RevisionPush.Name of messages of package distributor.
const configurationName = "configuration"

// peers returns the functions by which the daemon communicates with its peers and the store.
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

// announce distributes a fact to all daemons. It runs on its own goroutine: the syncer holds its lock while it waits
// for the daemon to apply a document, so a synchronous call could deadlock. The order of announcements does not matter,
// because the greater version of a fact takes precedence.
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

// sendConfiguration sends a message of package distributor to a seat. Delivery is not guaranteed and not required.
func (m *Member) sendConfiguration(to int, message distributor.Message) {
	value, err := cbor.Marshal(message)
	if err != nil {
		m.cfg.Logger.Error(err, "configuration message not encoded")
		return
	}
	m.messenger.SendPush(to, messenger.RevisionPush{Name: configurationName, Value: value})
}

// receivePush passes a configuration message to the provisioner. It ignores a message of another name
// and counts one that cannot be decoded.
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
