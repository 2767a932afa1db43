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
	// firstPauseMillis and longestPauseMillis bound the waits between two tries to get document and seat. They double,
	// and half of each is random. The longest one keeps a fleet of 7,400 daemons that all wait
	// below 700 reads a second.
	firstRetryMillis tiller.Millis = 200
	maxRetryMillis                 = 15 * tiller.Second
)

// Provisioner gives one daemon its document and its seat. Its methods may be called from any goroutine.
type Provisioner struct {
	cfg      Config
	keeper   *keeper.Keeper
	claimant keeper.Claimant
	// changed tells that a change was accepted here, which may be the first document.
	changed chan struct{}

	mu sync.Mutex
	// session is that of the seat that is held; nil without a seat.
	session *session
	// unready says why the daemon takes no new work; empty when it does.
	unready string
	// released is the seat to give back at a planned stop; nil when there is none.
	toRelease *keeper.Seat
}

// New returns a Provisioner that does nothing before Run. It fails when an address of the platform is not usable.
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

// Reasons why a daemon takes no new work.
const (
	unreadyNoDocument = "no document"
	unreadyNoSeat     = "no seat"
	unreadySyncing    = "newest revision not known yet"
)

// Run gets document and seat and keeps them until ctx ends. A daemon that loses its seat claims one again.
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

// Release gives the seat back at a planned stop, so that another process can claim it at once.
// It is called after the end of Run.
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

// claimed is a claimed seat, and the document by which it was claimed.
type claimResult struct {
	record keeper.Record
	doc    *tiller.Document
	seat   keeper.Seat
}

// obtain reads the document and claims a seat; it tries until it has both or ctx ends.
func (p *Provisioner) acquire(ctx context.Context) (claimResult, error) {
	for try := 0; ; try++ {
		c, err := p.tryAcquire(ctx)
		if err == nil {
			return c, nil
		}
		if ctx.Err() != nil {
			return claimResult{}, ctx.Err()
		}
		p.cfg.Log.Info("no seat yet", "Reason", err.Error())
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

// errNoDocument says that the store has no document for the environment.
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

// decode parses and checks the text of a document.
func decode(text string) (*tiller.Document, error) {
	doc, faults := decoder.DecodeDocument("", []byte(text))
	if len(faults) > 0 {
		return nil, errors.New(faults.String())
	}
	return doc, nil
}

// claim claims a seat, in the daemon's own failure domain when one is free there.
func (p *Provisioner) claim(ctx context.Context, doc *tiller.Document) (keeper.Seat, error) {
	domain := slices.IndexFunc(doc.Domains, func(d tiller.Domain) bool { return d.Name == p.cfg.Domain })
	if domain < 0 {
		p.cfg.Log.Info("the document does not have this failure domain", "Domain", p.cfg.Domain)
	}
	order := keeper.SeatOrder(doc.Seats, len(doc.Domains), domain, p.cfg.FirstSeat(doc.Seats))
	return p.keeper.Claim(ctx, p.claimant, order)
}

// pause waits before the next try, until ctx ends or a change was accepted here.
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

// Receive handles a message about the configuration from the daemon of the seat from.
func (p *Provisioner) Receive(from int, m distributor.Message) {
	if s := p.current(); s != nil {
		s.receive(from, m)
	}
}

// Announce makes a fact known to all daemons. Without a seat it does nothing.
func (p *Provisioner) Announce(f distributor.Fact) {
	if s := p.current(); s != nil {
		s.syncer.Announce(f)
	}
}

// AddressOf returns where the daemon of a seat is reached, if that is known.
func (p *Provisioner) AddressOf(seat int) (address string, ok bool) {
	if s := p.current(); s != nil {
		return s.addressOf(seat)
	}
	return "", false
}

// State returns the revision that is known and the time in milliseconds since the store is known to have
// held it as its newest; -1 when that was never known.
func (p *Provisioner) State() (revision int64, age tiller.Millis) {
	if s := p.current(); s != nil {
		return s.syncer.State()
	}
	return 0, -1
}

// Unready returns why the daemon takes no new work; empty when it does.
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

// current returns the session of the seat that is held; nil without a seat.
func (p *Provisioner) current() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}
