package syncer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/keeper"
)

const (
	// WatcherCount is the number of daemons that watch the store: those of the seats 0 to WatcherCount-1. It does not
	// depend on the size of the fleet, so the number of watch calls does not either.
	WatcherCount = 5
	// StaleMillis is the age in milliseconds of the last confirmation that the document is the newest,
	// from which a daemon reads the store itself. It is also the shortest interval between two such reads.
	// A random time below StaleSpreadMillis is added to the interval, so that the daemons of a fleet
	// without working watchers do not all read at once.
	StaleMillis       tiller.Millis = 15_000
	StaleSpreadMillis tiller.Millis = 60_000
)

// Config holds the dependencies of a Syncer.
type Config struct {
	// Seat is the seat of this daemon.
	Seat  int
	Clock tiller.Clock
	// Random returns a random number.
	Random func() uint64
	// Sleep waits for d, or returns an error when ctx ends first.
	Sleep func(ctx context.Context, d tiller.Millis) error
	// Send sends a message to the daemon of the seat to. Messages may be lost.
	Send func(to int, m distributor.Message)
	// Apply puts a new document into use. It is called under a lock, in rising order of the revisions,
	// and must not call the Syncer.
	Apply func(*tiller.Document)
	// OnFact is called with each new fact that another daemon announced. It may be nil.
	OnFact func(distributor.Fact)
	// Read reads the record of the environment from the store.
	Read func(ctx context.Context) (keeper.Record, error)
	// Watch watches that record until ctx ends and calls onRecord with each record that the store returns.
	Watch func(ctx context.Context, onRecord func(keeper.Record))
	// Decode parses and validates the document in the text of a record.
	Decode func(text string) (*tiller.Document, error)
	Log    logr.Logger
}

// Syncer synchronizes the configuration of one daemon. Its methods may be called concurrently.
type Syncer struct {
	cfg   Config
	mu    sync.Mutex
	table *distributor.Table
	// applied is the highest revision that was passed to Config.Apply.
	applied int64
	// nextReadAt is the earliest time of the next read of the store by tick.
	nextReadAt tiller.Millis
}

// New returns a Syncer that has no document and no facts.
func New(cfg Config) *Syncer {
	now := cfg.Clock.Now()
	return &Syncer{cfg: cfg, table: distributor.New(cfg.Seat, now), nextReadAt: now}
}

// Run watches the store if this daemon is a watcher, compares its state with peers and applies new documents,
// until ctx ends. It returns after its goroutines have ended.
func (s *Syncer) Run(ctx context.Context) {
	var group sync.WaitGroup
	if s.cfg.Seat < WatcherCount {
		group.Go(func() { s.cfg.Watch(ctx, s.HandleRecord) })
	}
	for ctx.Err() == nil {
		s.tick(ctx)
		s.mu.Lock()
		wait := s.table.NextWake() - s.cfg.Clock.Now()
		s.mu.Unlock()
		if s.cfg.Sleep(ctx, max(wait, 1)) != nil {
			break
		}
	}
	group.Wait()
}

// tick sends the messages that are due, and reads the store if that is due.
func (s *Syncer) tick(ctx context.Context) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	out := s.table.Tick(now, s.cfg.Random())
	readDue := s.takeDueRead(now)
	s.mu.Unlock()
	s.send(out)
	if !readDue {
		return
	}
	if record, err := s.cfg.Read(ctx); err == nil {
		s.HandleRecord(record)
	}
}

// takeDueRead reports whether this daemon must read the store now. If so, it schedules the next read.
func (s *Syncer) takeDueRead(now tiller.Millis) bool {
	age := s.table.Age(now)
	if (age >= 0 && age < StaleMillis) || now < s.nextReadAt {
		return false
	}
	s.nextReadAt = now + StaleMillis + tiller.Millis(s.cfg.Random()%uint64(StaleSpreadMillis))
	return true
}

// HandleRecord processes a record that was just read from the store. The current revision confirms the current
// document; a lower one is ignored. A record that does not decode is logged and ignored.
func (s *Syncer) HandleRecord(r keeper.Record) {
	if r.Revision == 0 {
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	known := r.Revision <= s.table.Revision()
	if known {
		s.table.Confirm(now, r.Revision)
	}
	s.mu.Unlock()
	if known {
		return
	}
	d, err := s.cfg.Decode(r.Text)
	if err != nil {
		s.cfg.Log.Error(err, "stored document does not decode", "Revision", r.Revision)
		return
	}
	d.Revision = r.Revision
	s.update(func() []distributor.Envelope { return s.table.SetDocument(now, d, s.cfg.Random()) })
}

// Receive handles a message from the daemon of the seat from.
func (s *Syncer) Receive(from int, m distributor.Message) {
	now := s.cfg.Clock.Now()
	s.update(func() []distributor.Envelope { return s.table.Receive(now, from, m, s.cfg.Random()) })
}

// Announce distributes a fact to all daemons.
func (s *Syncer) Announce(f distributor.Fact) {
	s.update(func() []distributor.Envelope { return s.table.Announce(f, s.cfg.Random()) })
}

// update runs step on the table, applies a new document if there is one, sends the resulting messages
// and reports new facts. Documents are applied under the lock, so that a lower revision is never applied
// after a higher one.
func (s *Syncer) update(step func() []distributor.Envelope) {
	s.mu.Lock()
	out := step()
	if revision := s.table.Revision(); revision > s.applied {
		s.applied = revision
		s.cfg.Apply(s.table.Document())
		s.cfg.Log.Info("document applied", "Revision", revision)
	}
	learned := s.table.TakeReceived()
	s.mu.Unlock()
	s.send(out)
	if s.cfg.OnFact == nil {
		return
	}
	for _, f := range learned {
		s.cfg.OnFact(f)
	}
}

func (s *Syncer) send(out []distributor.Envelope) {
	for _, e := range out {
		s.cfg.Send(e.To, e.Message)
	}
}

// State returns the revision of the current document and the time since it was last confirmed to be the newest.
// The age is -1 when it was never confirmed.
func (s *Syncer) State() (revision int64, age tiller.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Revision(), s.table.Age(s.cfg.Clock.Now())
}

// SeatAddress is the value of the fact that announces the address of the daemon at a seat.
type SeatAddress struct {
	Address string
	Domain  string
	VM      string
}

// AnnounceSeat distributes the address of the daemon at a seat. When two processes announce the same seat,
// the address with the higher incarnation is used.
func (s *Syncer) AnnounceSeat(seat int, incarnation int64, a SeatAddress) {
	value, err := json.Marshal(a)
	if err != nil {
		s.cfg.Log.Error(err, "encode seat address")
		return
	}
	s.Announce(distributor.Fact{Key: seatKey(seat), Version: incarnation, Value: value})
}

// AddressOf returns the address and the incarnation of the daemon at a seat. ok is false when they are unknown.
func (s *Syncer) AddressOf(seat int) (a SeatAddress, incarnation int64, ok bool) {
	f, ok := s.SeatFact(seat)
	if !ok {
		return SeatAddress{}, 0, false
	}
	if err := json.Unmarshal(f.Value, &a); err != nil {
		return SeatAddress{}, 0, false
	}
	return a, f.Version, true
}

// SeatFact returns the fact with the address of a seat, and false when it is unknown.
func (s *Syncer) SeatFact(seat int) (distributor.Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Fact(seatKey(seat))
}

func seatKey(seat int) string {
	return fmt.Sprintf("seat/%d", seat)
}
