package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

const (
	// firstProbeMillis is the delay before an unreachable daemon is probed for the first time.
	firstProbeMillis = 200
	// maxProbeMillis is the longest delay between two probes.
	maxProbeMillis = 1600
)

// Probe checks, after a delay, whether another daemon can be reached.
type Probe struct {
	Member cataloger.Member
	After  tiller.Millis
}

func (Probe) effect() {}

// PeerProbed reports the outcome of a Probe.
type PeerProbed struct {
	Member  cataloger.Member
	Reached bool
}

func (PeerProbed) event() {}

// suspendPeer stops sending sub-queries to a daemon that cannot be reached. Its store entry remains for seconds
// after the daemon or its connections fail, and each query sent to it would lose the time it waits.
func (s *State) suspendPeer(p *peer, reason tiller.Reason) {
	if p.unreachable || reason != tiller.ReasonConnectFailed && reason != tiller.ReasonSilent {
		return
	}
	p.unreachable, p.preconnected, p.probeDelay = true, false, firstProbeMillis
	s.emit(Probe{Member: p.Member, After: p.probeDelay})
}

// endProbe resumes sending sub-queries to a daemon that was reached. Otherwise it doubles the delay, up to
// maxProbeMillis, and probes again.
func (s *State) endProbe(now tiller.Millis, e PeerProbed) {
	p, ok := s.peers[e.Member.VM]
	if !ok || p.Member != e.Member {
		return
	}
	s.recordPeerContact(now, p, e.Reached)
	if e.Reached {
		p.unreachable = false
		s.preconnectPeers()
		return
	}
	p.probeDelay = min(2*p.probeDelay, maxProbeMillis)
	s.emit(Probe{Member: p.Member, After: p.probeDelay})
}
