package joiner

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/provisioner"
)

// provisionerConfig returns the configuration of a provisioner that passes its document and seat to the daemon.
// address is the address for peers.
func (m *Member) provisionerConfig(address string) provisioner.Config {
	return provisioner.Config{
		VM:                m.cfg.Name,
		Domain:            m.cfg.Domain,
		Environment:       m.cfg.Environment,
		Address:           address,
		PlatformAddresses: m.cfg.PlatformAddresses,
		Clock:             m.cfg.Clock,
		Log:               m.cfg.Logger,
		Send:              m.sendConfiguration,
		Apply:             func(doc *tiller.Document) error { return m.daemon.Apply(doc) },
		LearnFact:         func(f distributor.Fact) { m.daemon.LearnFact(f.Key, f.Version, f.Value) },
		Hold:              m.takeSeat,
		ExtendSeat:        func(until tiller.Millis) bool { return m.daemon.ExtendSeat(until) },
		LeaveSeat:         m.leaveSeat,
	}
}

// takeSeat makes the daemon act under a claimed seat.
func (m *Member) takeSeat(h provisioner.HeldSeat) {
	m.seat.Store(int64(h.Seat))
	m.daemon.TakeSeat(h.Seat, h.Incarnation)
	m.daemon.ExtendSeat(h.Until)
}

// leaveSeat makes the daemon stop acting under its seat.
func (m *Member) leaveSeat() {
	m.daemon.LeaveSeat()
	m.seat.Store(noSeat)
}

// knowledgeAge returns the time since the daemon's revision was last confirmed to be the newest;
// -1 when it was never confirmed.
func (m *Member) knowledgeAge() tiller.Millis {
	_, age := m.provisioner.State()
	return age
}
