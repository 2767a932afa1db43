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
	// Search is what the fake upstreams run.
	Search faker.SearchFunc
	// Tune changes the settings of a fake upstream before it starts; nil leaves them.
	Tune func(*faker.UpstreamSettings)
	// DrainMillis is that of each daemon.
	DrainMillis tiller.Millis
}

// Fleet is a running fleet.
type Fleet struct {
	cfg      Config
	exchange *exchange
	// Document is the document in force, with the addresses of the fakes.
	Document  *tiller.Document
	Platform  *faker.Platform
	Upstreams map[string]*faker.Upstream
	// Daemons are the daemons by seat; a stopped one is nil.
	Daemons []*assembler.Daemon
}

// Start starts a fleet with one daemon for each seat of the document. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, exchange: newExchange(), Upstreams: make(map[string]*faker.Upstream)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	f.Platform, err = faker.NewPlatform(faker.StoreSettings{}, f.cfg.Clock)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if _, err := f.Platform.Start(loopback); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	f.Daemons = make([]*assembler.Daemon, f.Document.Seats)
	for seat := range f.Daemons {
		if err := f.StartDaemon(seat, 1); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts a fake for each upstream and puts its address into a copy of the document.
func (f *Fleet) startUpstreams() error {
	doc := *f.cfg.Document
	doc.Upstreams = append([]tiller.Upstream(nil), doc.Upstreams...)
	for i, u := range doc.Upstreams {
		fake, err := faker.NewUpstream(f.settings(u), f.cfg.Clock)
		if err != nil {
			return fmt.Errorf("upstream %s: %w", u.Name, err)
		}
		f.Upstreams[u.Name] = fake
		if doc.Upstreams[i].Address, err = fake.Start(loopback); err != nil {
			return fmt.Errorf("upstream %s: %w", u.Name, err)
		}
	}
	f.Document = &doc
	return nil
}

// settings returns what a fake bears: what the document says of the upstream.
func (f *Fleet) settings(u tiller.Upstream) faker.UpstreamSettings {
	s := faker.UpstreamSettings{
		Name:          u.Name,
		Slots:         u.Slots,
		QueueLimit:    u.Slots,
		Connections:   u.Connections,
		ConnectMillis: u.ConnectMillis,
		ColdSlots:     u.ColdSlots,
		ColdRequests:  20,
		ColdMillis:    5 * tiller.Second,
		RestartMillis: 200,
		ServiceMillis: 2,
		Holdings:      faker.Holdings(*f.cfg.Document, u.Name),
		Search:        f.cfg.Search,
		Seed:          1,
	}
	if f.cfg.Tune != nil {
		f.cfg.Tune(&s)
	}
	return s
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
	for _, u := range f.Upstreams {
		u.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}
