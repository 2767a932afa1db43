package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

const (
	// probeMillis is the pause before a daemon that could not be reached is probed.
	firstProbeMillis = 200
	// maxProbeMillis is the longest pause between two probes.
	maxProbeMillis = 1600
)

// Probe asks another daemon, after a pause, whether it can be reached.
type Probe struct {
	Member cataloger.Member
	After  tiller.Millis
}

func (Probe) effect() {}

// PeerProbed is the outcome of a Probe.
type PeerProbed struct {
	Member  cataloger.Member
	Reached bool
}

func (PeerProbed) event() {}

// watchPeer takes a daemon that cannot be reached out of use. Its entry in the store outlives it or
// its connections by seconds, in which every query sent to it would lose its time.
func (s *State) suspendPeer(p *peer, reason tiller.Reason) {
	if p.unreachable || reason != tiller.ReasonConnectFailed && reason != tiller.ReasonSilent {
		return
	}
	p.unreachable, p.preconnected, p.probeDelay = true, false, firstProbeMillis
	s.emit(Probe{Member: p.Member, After: p.probeDelay})
}

// endProbe takes a daemon into use again when it was reached, and else probes it again.
func (s *State) endProbe(e PeerProbed) {
	p, ok := s.peers[e.Member.VM]
	if !ok || p.Member != e.Member {
		return
	}
	if e.Reached {
		p.unreachable = false
		s.preconnectPeers()
		return
	}
	p.probeDelay = min(2*p.probeDelay, maxProbeMillis)
	s.emit(Probe{Member: p.Member, After: p.probeDelay})
}
