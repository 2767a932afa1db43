package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/faker"
)

// loopback is the address of everything in the fleet; the system chooses the port.
const loopback = "127.0.0.1:0"

// Config says what a fleet consists of.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// Document is what the fleet serves. The addresses of its upstreams are replaced by those of the fakes.
	Document *tiller.Document
	// Upstream holds the settings of the fake upstreams that the document does not state; Search is required.
	Upstream faker.UpstreamSettings
	// DrainMillis is that of each daemon.
	DrainMillis tiller.Millis
}

// DefaultUpstream returns settings for small and quick upstreams that run search.
func DefaultUpstream(search faker.SearchFunc) faker.UpstreamSettings {
	return faker.UpstreamSettings{
		QueueLimit:    4,
		ColdRequests:  20,
		ColdMillis:    5 * tiller.Second,
		RestartMillis: 200,
		ServiceMillis: 2,
		Search:        search,
		Seed:          1,
	}
}

// Fleet is a running fleet.
type Fleet struct {
	cfg      Config
	exchange *exchange
	// Fakes are the platform and the upstreams.
	Fakes *faker.Fleet
	// Document is the document in force, with the addresses of the fakes.
	Document *tiller.Document
	// Daemons are the daemons by seat; a stopped one is nil.
	Daemons []*assembler.Daemon
}

// Start starts a fleet with one daemon for each seat of the document. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	fakes, err := faker.NewFleet(*cfg.Document, cfg.Upstream, faker.StoreSettings{}, cfg.Clock)
	if err != nil {
		return nil, err
	}
	_, doc, err := fakes.Start()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg:      cfg,
		exchange: newExchange(),
		Fakes:    fakes,
		Document: &doc,
		Daemons:  make([]*assembler.Daemon, doc.Seats),
	}
	for seat := range f.Daemons {
		if err := f.StartDaemon(seat, 1); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// StartDaemon starts the daemon of a seat, which has none, with an incarnation greater than before.
func (f *Fleet) StartDaemon(seat int, incarnation int64) error {
	d, err := assembler.New(assembler.Config{
		Clock:           f.cfg.Clock,
		Logger:          f.cfg.Logger.WithValues("Seat", seat),
		CallerAddress:   loopback,
		OperatorAddress: loopback,
		Seat:            seat,
		Incarnation:     incarnation,
		DrainMillis:     f.cfg.DrainMillis,
		Peers:           f.exchange.peers(seat),
	})
	if err != nil {
		return fmt.Errorf("daemon of seat %d: %w", seat, err)
	}
	f.Daemons[seat] = d
	f.exchange.set(seat, d)
	return d.Apply(f.Document)
}

// StopDaemon stops the daemon of a seat as planned.
func (f *Fleet) StopDaemon(ctx context.Context, seat int) error {
	err := f.Daemons[seat].Stop(ctx)
	f.exchange.set(seat, nil)
	f.Daemons[seat] = nil
	return err
}

// KillDaemon ends the daemon of a seat at once, as a crash of its process would: its peers get no more replies.
func (f *Fleet) KillDaemon(seat int) {
	f.exchange.set(seat, nil)
	f.Daemons[seat].Close()
	f.Daemons[seat] = nil
}

// Stop stops every daemon as planned, all at the same time, and then the fakes.
func (f *Fleet) Stop(ctx context.Context) error {
	errs := make([]error, len(f.Daemons))
	var tasks sync.WaitGroup
	for seat, d := range f.Daemons {
		if d != nil {
			tasks.Go(func() { errs[seat] = d.Stop(ctx) })
		}
	}
	tasks.Wait()
	f.Close()
	return errors.Join(errs...)
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		if d != nil {
			d.Close()
		}
	}
	f.Fakes.Close()
}
