package joiner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/syncer"
)

const (
	// joinAgainMillis is the pause before another try to read the document or to claim a seat; half of it is random.
	joinAgainMillis = tiller.Second
	// renewAgainMillis is the pause before another try to renew the lease on the seat.
	renewAgainMillis = 10 * tiller.Second
	// bootstrapSeats is the greatest number of seats whose addresses are read from the store. The store's
	// load at a restart of the whole fleet grows with it, and one live peer is enough.
	bootstrapSeats = 8
	// bootstrapMillis is the time between two reads of addresses while no peer is known.
	bootstrapMillis = 5 * tiller.Second
)

// join reads the document, claims a seat and follows the document until the member ends.
func (m *Member) join() {
	record, doc, ok := m.awaitDocument()
	if !ok {
		return
	}
	held, ok := m.claim(doc)
	if !ok {
		return
	}
	s := syncer.New(m.syncerConfig(held.Number))
	m.mu.Lock()
	m.held = held
	m.mu.Unlock()
	m.syncer.Store(s)
	m.seat.Store(int64(held.Number))
	m.cfg.Logger.Info("seat claimed", "Seat", held.Number, "Incarnation", held.Incarnation)
	m.daemon.TakeSeat(held.Number, held.Incarnation)
	m.readAddresses(doc.Seats)
	s.LearnRecord(record)
	s.AnnounceSeat(held.Number, held.Incarnation, syncer.SeatAddress{
		Address: m.claimant.Address, Domain: m.claimant.Domain, VM: m.claimant.VM,
	})
	m.tasks.Go(func() { s.Run(m.ctx) })
	m.tasks.Go(m.renew)
	m.seekPeers(doc.Seats)
}

// awaitDocument reads the stored record until there is one that decodes.
func (m *Member) awaitDocument() (keeper.Record, *tiller.Document, bool) {
	for {
		record, _, err := m.keeper.Read(m.ctx, m.cfg.Environment)
		if err == nil && record.Revision > 0 {
			doc, err := decodeDocument(record.Text)
			if err == nil {
				return record, doc, true
			}
			m.cfg.Logger.Error(err, "stored document does not decode", "Revision", record.Revision)
		}
		if err != nil && m.ctx.Err() == nil {
			m.cfg.Logger.Error(err, "document not read")
		}
		if m.pause(joinAgainMillis) != nil {
			return keeper.Record{}, nil, false
		}
	}
}

// claim claims a free seat, of the own failure domain if there is one.
func (m *Member) claim(doc *tiller.Document) (keeper.Seat, bool) {
	domain := slices.IndexFunc(doc.Domains, func(d tiller.Domain) bool { return d.Name == m.cfg.Domain })
	for {
		order := keeper.SeatOrder(doc.Seats, len(doc.Domains), domain, rand.IntN(doc.Seats))
		held, err := m.keeper.Claim(m.ctx, m.claimant, order)
		if err == nil {
			return held, true
		}
		if m.ctx.Err() == nil {
			m.cfg.Logger.Error(err, "no seat claimed")
		}
		if m.pause(joinAgainMillis) != nil {
			return keeper.Seat{}, false
		}
	}
}

// pause waits for d, half of it at random, so that daemons do not call the store together.
func (m *Member) pause(d tiller.Millis) error {
	half := int64(d) / 2
	return sleep(m.ctx, tiller.Millis(half+rand.Int64N(half+1)))
}

// renew keeps the store lease on the seat, or reports that the seat is lost.
func (m *Member) renew() {
	wait := keeper.SeatRenewMillis
	for sleep(m.ctx, wait) == nil {
		m.mu.Lock()
		held := m.held
		m.mu.Unlock()
		next, err := m.keeper.Renew(m.ctx, held)
		switch {
		case err == nil:
			wait = keeper.SeatRenewMillis
		case errors.Is(err, keeper.ErrLeaseEnded), m.cfg.Clock.Now()+renewAgainMillis >= held.Until:
			m.cfg.Logger.Error(err, "seat lost", "Seat", held.Number)
			m.daemon.Resign()
			m.lost <- ErrSeatLost
			return
		default:
			m.cfg.Logger.Error(err, "seat not renewed", "Seat", held.Number)
			wait = renewAgainMillis
		}
		m.mu.Lock()
		m.held = next
		m.mu.Unlock()
	}
}

// seekPeers reads addresses from the store until the fleet's facts name a peer.
func (m *Member) seekPeers(seats int) {
	for seats > 1 && !m.knowsPeer(seats) {
		if m.pause(bootstrapMillis) != nil {
			return
		}
		m.readAddresses(seats)
	}
}

func (m *Member) knowsPeer(seats int) bool {
	s := m.syncer.Load()
	for seat := range seats {
		if seat == m.Seat() {
			continue
		}
		if _, _, ok := s.AddressOf(seat); ok {
			return true
		}
	}
	return false
}

// readAddresses reads the addresses of some seats from the store.
func (m *Member) readAddresses(seats int) {
	chosen := rand.Perm(seats)
	for _, seat := range chosen[:min(seats, bootstrapSeats)] {
		holder, isHeld, err := m.keeper.Holder(m.ctx, seat)
		if err != nil || !isHeld {
			continue
		}
		m.mu.Lock()
		m.bootstrap[seat] = holder.Address
		m.mu.Unlock()
	}
}

func (m *Member) syncerConfig(seat int) syncer.Config {
	return syncer.Config{
		Seat:   seat,
		Clock:  m.cfg.Clock,
		Random: rand.Uint64,
		Sleep:  sleep,
		Send:   m.sendConfiguration,
		Apply: func(doc *tiller.Document) {
			if err := m.daemon.Apply(doc); err != nil && m.ctx.Err() == nil {
				m.cfg.Logger.Error(err, "document not applied", "Revision", doc.Revision)
			}
		},
		Learned: func(f distributor.Fact) { m.daemon.LearnFact(f.Key, f.Version, f.Value) },
		Read: func(ctx context.Context) (keeper.Record, error) {
			record, _, err := m.keeper.Read(ctx, m.cfg.Environment)
			return record, err
		},
		Watch: func(ctx context.Context, learned func(keeper.Record)) {
			m.keeper.Watch(ctx, m.cfg.Environment, learned)
		},
		Decode: decodeDocument,
		Log:    m.cfg.Logger,
	}
}
