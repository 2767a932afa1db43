package provisioner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/keeper"
)

const (
	// firstRetryMillis and maxRetryMillis bound the waits between attempts to obtain a document and a seat.
	// The wait doubles with each attempt, and half of it is random. At maxRetryMillis, a fleet of 7,400 daemons
	// that all wait makes fewer than 700 reads per second.
	firstRetryMillis tiller.Millis = 200
	maxRetryMillis                 = 15 * tiller.Second
)

// Provisioner obtains and keeps the document and the seat of one daemon. Its methods may be called concurrently.
type Provisioner struct {
	cfg      Config
	keeper   *keeper.Keeper
	claimant keeper.Claimant
	// changed is signalled when this daemon, without a seat, has accepted a change, which may be the first document.
	changed chan struct{}

	mu sync.Mutex
	// session is the session of the held seat; nil without a seat.
	session *session
	// unready is the reason why the daemon accepts no new work; empty when it does.
	unready string
	// toRelease is the seat that Release gives back; nil when there is none.
	toRelease *keeper.Seat
}

// New returns a Provisioner. It makes no call before Run or a request of an operator.
// It fails when PlatformAddresses is empty or has an invalid address.
func New(cfg Config) (*Provisioner, error) {
	cfg = cfg.withDefaults()
	client, err := newPlatformClient(cfg.PlatformAddresses, cfg.Client)
	if err != nil {
		return nil, err
	}
	return &Provisioner{
		cfg: cfg,
		keeper: keeper.New(keeper.Config{
			Platform:    client.platform(),
			Environment: cfg.Environment,
			Clock:       cfg.Clock,
			Sleep:       sleep,
			Random:      cfg.randomBelow,
		}),
		claimant: keeper.Claimant{VM: cfg.VM, Address: cfg.Address, Domain: cfg.Domain, Nonce: uuid.NewString()},
		changed:  make(chan struct{}, 1),
		unready:  unreadyNoDocument,
	}, nil
}

// Reasons why a daemon accepts no new work, as Unready returns them.
const (
	unreadyNoDocument = "no document"
	unreadyNoSeat     = "no seat"
	unreadySyncing    = "newest revision not known yet"
)

// Run obtains a document and a seat and keeps them until ctx ends. When the seat is lost, Run claims one again.
func (p *Provisioner) Run(ctx context.Context) {
	defer p.cfg.Client.CloseIdleConnections()
	for ctx.Err() == nil {
		c, err := p.acquire(ctx)
		if err != nil {
			return
		}
		p.runSession(ctx, c)
	}
}

// Release gives the seat back at a planned stop, so that another process can claim it immediately.
// It must be called after Run has returned. Without a seat it does nothing.
func (p *Provisioner) Release(ctx context.Context) error {
	p.mu.Lock()
	seat := p.toRelease
	p.toRelease = nil
	p.mu.Unlock()
	if seat == nil {
		return nil
	}
	defer p.cfg.Client.CloseIdleConnections()
	if err := p.keeper.Release(ctx, p.claimant, *seat); err != nil {
		return fmt.Errorf("release seat %d: %w", seat.Number, err)
	}
	p.cfg.Log.Info("seat released", "Seat", seat.Number)
	return nil
}

// claimResult is a claimed seat and the document that defined the seats.
type claimResult struct {
	record keeper.Record
	doc    *tiller.Document
	seat   keeper.Seat
}

// acquire reads the document and claims a seat. It retries until it has both or ctx ends.
func (p *Provisioner) acquire(ctx context.Context) (claimResult, error) {
	for try := 0; ; try++ {
		c, err := p.tryAcquire(ctx)
		if err == nil {
			return c, nil
		}
		if ctx.Err() != nil {
			return claimResult{}, ctx.Err()
		}
		p.cfg.Log.Info("document or seat not obtained, retrying", "Reason", err.Error())
		p.waitForRetry(ctx, try)
	}
}

func (p *Provisioner) tryAcquire(ctx context.Context) (c claimResult, err error) {
	if c.record, c.doc, err = p.readDocument(ctx); err != nil {
		return c, err
	}
	p.setUnready(unreadyNoSeat)
	c.seat, err = p.claim(ctx, c.doc)
	return c, err
}

// errNoDocument is returned when the store has no document for the environment.
var errNoDocument = errors.New("the store has no document for the environment")

// readDocument reads the stored document.
func (p *Provisioner) readDocument(ctx context.Context) (keeper.Record, *tiller.Document, error) {
	record, _, err := p.keeper.Read(ctx, p.cfg.Environment)
	if err != nil {
		return record, nil, err
	}
	if record.Revision == 0 {
		return record, nil, errNoDocument
	}
	doc, err := decode(record.Text)
	return record, doc, err
}

// decode parses and validates the text of a document.
func decode(text string) (*tiller.Document, error) {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return nil, errors.New(faults.String())
	}
	return doc, nil
}

// claim claims a seat, if possible in the daemon's own failure domain.
func (p *Provisioner) claim(ctx context.Context, doc *tiller.Document) (keeper.Seat, error) {
	domain := slices.IndexFunc(doc.Domains, func(d tiller.Domain) bool { return d.Name == p.cfg.Domain })
	if domain < 0 {
		p.cfg.Log.Info("failure domain is not in the document", "Domain", p.cfg.Domain)
	}
	order := keeper.SeatOrder(doc.Seats, len(doc.Domains), domain, p.cfg.FirstSeat(doc.Seats))
	return p.keeper.Claim(ctx, p.claimant, order)
}

// waitForRetry waits before the next attempt. It returns early when ctx ends or this daemon has accepted a change.
func (p *Provisioner) waitForRetry(ctx context.Context, try int) {
	longest := maxRetryMillis
	if try < 7 {
		longest = min(firstRetryMillis<<try, maxRetryMillis)
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.randomBetween(longest/2, longest).Duration())
	defer cancel()
	select {
	case <-p.changed:
	case <-ctx.Done():
	}
}

// Receive handles a configuration message from the daemon at seat from. Without a seat it does nothing.
func (p *Provisioner) Receive(from int, m distributor.Message) {
	if s := p.current(); s != nil {
		s.receive(from, m)
	}
}

// Announce distributes a fact to all daemons. Without a seat it does nothing.
func (p *Provisioner) Announce(f distributor.Fact) {
	if s := p.current(); s != nil {
		s.syncer.Announce(f)
	}
}

// AddressOf returns the address of the daemon at a seat. ok is false when it is not known.
func (p *Provisioner) AddressOf(seat int) (address string, ok bool) {
	if s := p.current(); s != nil {
		return s.addressOf(seat)
	}
	return "", false
}

// State returns the newest known revision, and the time in milliseconds since it was last confirmed
// to be the newest in the store; -1 when it was never confirmed.
func (p *Provisioner) State() (revision int64, age tiller.Millis) {
	if s := p.current(); s != nil {
		return s.syncer.State()
	}
	return 0, -1
}

// Unready returns the reason why the daemon accepts no new work, or an empty string when it does.
func (p *Provisioner) Unready() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unready
}

func (p *Provisioner) setUnready(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unready = reason
}

// current returns the session of the held seat; nil without a seat.
func (p *Provisioner) current() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}
