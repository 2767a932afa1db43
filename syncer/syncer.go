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
	// WatcherCount is the number of seats, counted from 0, whose daemons watch the store. It does not grow
	// with the fleet, so neither do the calls to the store.
	WatcherCount = 5
	// StaleMillis is the age of a daemon's knowledge, in milliseconds, after which it reads the store itself.
	// A random time up to StaleSpreadMillis is added, so that a fleet that has lost its watchers
	// does not read all at once.
	StaleMillis       tiller.Millis = 15_000
	StaleSpreadMillis tiller.Millis = 60_000
)

// Config holds what a Syncer depends on.
type Config struct {
	Seat  int
	Clock tiller.Clock
	// Random returns a random number.
	Random func() uint64
	// Sleep waits for a time or until ctx ends.
	Sleep func(ctx context.Context, d tiller.Millis) error
	// Send sends a message to a seat; a lost message does no harm.
	Send func(to int, m distributor.Message)
	// Apply hands over the document that is in force from now on.
	Apply func(*tiller.Document)
	// OnFact hands over a fact that another daemon has announced; nil when nobody wants them.
	OnFact func(distributor.Fact)
	// Read and Watch read the record of the environment from the store.
	Read  func(ctx context.Context) (keeper.Record, error)
	Watch func(ctx context.Context, learned func(keeper.Record))
	// Decode parses and checks the text of a record.
	Decode func(text string) (*tiller.Document, error)
	Log    logr.Logger
}

// Syncer keeps the configuration of one daemon in step. Its methods may be called from any goroutine.
type Syncer struct {
	cfg        Config
	mu         sync.Mutex
	table      *distributor.Table
	applied    int64
	nextReadAt tiller.Millis
}

// New returns a Syncer that knows nothing yet.
func New(cfg Config) *Syncer {
	now := cfg.Clock.Now()
	return &Syncer{cfg: cfg, table: distributor.New(cfg.Seat, now), nextReadAt: now}
}

// Run watches, compares with peers and applies what it learns until ctx ends.
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

// isStale says whether this daemon is to read the store now. It then sets the time of the next read.
func (s *Syncer) takeDueRead(now tiller.Millis) bool {
	age := s.table.Age(now)
	if (age >= 0 && age < StaleMillis) || now < s.nextReadAt {
		return false
	}
	s.nextReadAt = now + StaleMillis + tiller.Millis(s.cfg.Random()%uint64(StaleSpreadMillis))
	return true
}

// HandleRecord takes a record that the store holds now. A record that does not decode is logged and ignored.
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
	s.update(func() []distributor.Envelope { return s.table.Learn(now, d, s.cfg.Random()) })
}

// Receive handles a message from the seat from.
func (s *Syncer) Receive(from int, m distributor.Message) {
	now := s.cfg.Clock.Now()
	s.update(func() []distributor.Envelope { return s.table.Receive(now, from, m, s.cfg.Random()) })
}

// Announce makes a fact known to all daemons.
func (s *Syncer) Announce(f distributor.Fact) {
	s.update(func() []distributor.Envelope { return s.table.Announce(f, s.cfg.Random()) })
}

// change runs a step on the table, applies a new document and sends what follows.
// Documents are applied under the lock, so that a lower revision cannot overtake a higher one.
func (s *Syncer) update(step func() []distributor.Envelope) {
	s.mu.Lock()
	out := step()
	if revision := s.table.Revision(); revision > s.applied {
		s.applied = revision
		s.cfg.Apply(s.table.Document())
		s.cfg.Log.Info("document learnt", "Revision", revision)
	}
	learned := s.table.TakeLearned()
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

// State returns the revision in force and the age of the knowledge that it is the newest; -1 when never known.
func (s *Syncer) State() (revision int64, age tiller.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Revision(), s.table.Age(s.cfg.Clock.Now())
}

// SeatAddress is the fact that tells where the daemon at a seat is reached.
type SeatAddress struct {
	Address string
	Domain  string
	VM      string
}

// AnnounceSeat makes the address of a seat known. Of two processes at one seat the one with the greater incarnation counts.
func (s *Syncer) AnnounceSeat(seat int, incarnation int64, a SeatAddress) {
	value, err := json.Marshal(a)
	if err != nil {
		s.cfg.Log.Error(err, "encode seat address")
		return
	}
	s.Announce(distributor.Fact{Key: seatKey(seat), Version: incarnation, Value: value})
}

// AddressOf returns the address and the incarnation of the daemon at a seat, if they are known.
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

// SeatFact returns the fact that tells the address of a seat, if it is known.
func (s *Syncer) SeatFact(seat int) (distributor.Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Fact(seatKey(seat))
}

func seatKey(seat int) string {
	return fmt.Sprintf("seat/%d", seat)
}
