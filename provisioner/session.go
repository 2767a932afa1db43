package provisioner

import (
	"context"
	"sync"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/syncer"
)

const (
	// peerWaitMillis bounds the wait of a daemon with a new seat for the revisions of its peers.
	// It leaves time for a second comparison with peers.
	peerWaitMillis = 3 * distributor.CompareMillis / 2
	// storeReadTimeoutMillis bounds a read of the store by the syncer, which does not compare with peers meanwhile.
	storeReadTimeoutMillis = tiller.Second
)

// session is the state of a process while it holds one seat.
type session struct {
	p      *Provisioner
	syncer *syncer.Syncer
	// seat is the seat as it was claimed.
	seat keeper.Seat
	// until is the time from which the process must not act under the seat. Only the goroutine of keepSeat uses it.
	until tiller.Millis

	lost     chan struct{}
	loseOnce sync.Once

	mu sync.Mutex
	// isApplying is true once documents are applied. Before, the newest one is only kept in newest.
	isApplying bool
	newest     *tiller.Document
	// storedAddresses are the addresses of random seats, as last read from the store.
	storedAddresses map[int]string
	// heard are the seats that have sent a message. The transport knows where to send replies to them.
	heard map[int]bool
	// awaited are the seats whose revision becomeReady waits for: it is unknown, or newer than the daemon's own.
	// allArrived is closed when there are none left.
	awaited    map[int]bool
	allArrived chan struct{}
}

// runSession keeps the seat and the document until ctx ends or the seat is lost.
func (p *Provisioner) runSession(ctx context.Context, c claimResult) {
	s := p.startSession(c.seat)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	// The first document is compared with peers, so addresses of some peers must be known before.
	s.setAwaited(s.readAddresses(ctx, c.doc.Seats))
	s.learnDocument(ctx, c.record)
	group.Go(func() { s.syncer.Run(ctx) })
	group.Go(func() { s.becomeReady(ctx) })
	group.Go(func() { s.searchPeers(ctx, c.doc.Seats) })
	s.keepSeat(ctx)
	p.endSession(s, ctx.Err() != nil)
	cancel()
	group.Wait()
}

// startSession creates the session of a claimed seat and tells the daemon its seat.
func (p *Provisioner) startSession(seat keeper.Seat) *session {
	s := &session{p: p, seat: seat, until: heldUntil(seat), lost: make(chan struct{})}
	s.heard, s.awaited, s.allArrived = map[int]bool{}, map[int]bool{}, make(chan struct{})
	s.syncer = syncer.New(syncer.Config{
		Seat:   seat.Number,
		Clock:  p.cfg.Clock,
		Random: p.cfg.Random,
		Sleep:  sleep,
		Send:   s.send,
		Apply:  s.apply,
		OnFact: p.cfg.LearnFact,
		Read:   s.read,
		Watch: func(ctx context.Context, learned func(keeper.Record)) {
			p.keeper.Watch(ctx, p.cfg.Environment, learned)
		},
		Decode: decode,
		Log:    p.cfg.Log,
	})
	p.mu.Lock()
	p.session, p.unready = s, unreadySyncing
	p.mu.Unlock()
	p.cfg.Hold(HeldSeat{Seat: seat.Number, Incarnation: seat.Incarnation, Until: s.until})
	p.cfg.Log.Info("seat claimed", "Seat", seat.Number, "Incarnation", seat.Incarnation)
	return s
}

// endSession tells the daemon that it no longer holds a seat. At a planned stop it keeps the seat for Release.
func (p *Provisioner) endSession(s *session, planned bool) {
	p.mu.Lock()
	p.session, p.unready = nil, unreadyNoSeat
	if planned {
		p.toRelease = &s.seat
	}
	p.mu.Unlock()
	p.cfg.LeaveSeat()
}

// read reads the record of the environment from the store, for the syncer.
func (s *session) read(ctx context.Context) (keeper.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeoutMillis.Duration())
	defer cancel()
	record, _, err := s.p.keeper.Read(ctx, s.p.cfg.Environment)
	return record, err
}

// learnDocument announces the daemon's seat and passes a record to the syncer, which then compares with peers.
// The record is read again after the claim; when that read fails or is not newer, the given record is used.
func (s *session) learnDocument(ctx context.Context, record keeper.Record) {
	c := s.p.claimant
	s.syncer.AnnounceSeat(s.seat.Number, s.seat.Incarnation, syncer.SeatAddress{Address: c.Address, Domain: c.Domain, VM: c.VM})
	s.sendOwnAddress()
	if current, err := s.read(ctx); err == nil && current.Revision > record.Revision {
		record = current
	}
	s.syncer.HandleRecord(record)
}

// becomeReady waits until the revisions of the awaited peers have arrived or peerWaitMillis has passed, applies
// the newest document and then marks the daemon as ready. So a restarted daemon does not serve an earlier revision
// than before when the store returns an old record.
func (s *session) becomeReady(ctx context.Context) {
	timer := time.NewTimer(peerWaitMillis.Duration())
	defer timer.Stop()
	select {
	case <-s.allArrived:
	case <-timer.C:
	case <-s.lost:
		return
	case <-ctx.Done():
		return
	}
	s.startApplying()
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	if s.p.session == s {
		s.p.unready = ""
	}
}

// apply applies a document, or only keeps it when startApplying has not been called yet.
func (s *session) apply(doc *tiller.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = doc
	if s.isApplying {
		s.applyNewest()
	}
}

// startApplying applies the newest document, and from then on each new one.
func (s *session) startApplying() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isApplying = true
	s.applyNewest()
}

// applyNewest applies the newest document. mu must be held, so that a lower revision cannot overtake a higher one.
func (s *session) applyNewest() {
	if s.newest == nil {
		return
	}
	if err := s.p.cfg.Apply(s.newest); err != nil {
		s.p.cfg.Log.Error(err, "document not put in force", "Revision", s.newest.Revision)
	}
}

// receive handles a message from the daemon at seat from.
func (s *session) receive(from int, m distributor.Message) {
	s.markHeard(from)
	s.syncer.Receive(from, m)
	if revision, _ := s.syncer.State(); hasRevisionUpTo(m, revision) {
		s.markRevisionKnown(from)
	}
	if _, incarnation, ok := s.syncer.AddressOf(s.seat.Number); ok && incarnation > s.seat.Incarnation {
		s.loseSeat("another process has claimed the seat")
	}
}

// hasRevisionUpTo reports whether a message states the revision of its sender and that revision is at most the given one.
func hasRevisionUpTo(m distributor.Message, revision int64) bool {
	switch {
	case m.Digest != nil:
		return m.Digest.Revision <= revision
	case m.Pull != nil:
		return m.Pull.Revision <= revision
	case m.Push == nil:
		return false
	case m.Push.Document != nil:
		return m.Push.Document.Revision <= revision
	}
	n := len(m.Push.Patches)
	return n > 0 && m.Push.Patches[n-1].To <= revision
}

// setAwaited sets the seats whose revisions becomeReady waits for.
func (s *session) setAwaited(known map[int]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for seat := range known {
		s.awaited[seat] = true
	}
	if len(s.awaited) == 0 {
		close(s.allArrived)
	}
}

// markRevisionKnown removes a seat from those that becomeReady waits for.
func (s *session) markRevisionKnown(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.awaited[from] {
		return
	}
	delete(s.awaited, from)
	if len(s.awaited) == 0 {
		close(s.allArrived)
	}
}

// loseSeat ends the session. Only the first call has an effect.
func (s *session) loseSeat(reason string) {
	s.loseOnce.Do(func() {
		s.p.cfg.Log.Info("seat lost", "Seat", s.seat.Number, "Reason", reason)
		close(s.lost)
	})
}
