package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/issuer"
	"github.com/carawaytiller/carawaytiller/joiner"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/messenger"
)

const (
	// loopback is the address of everything in the fleet; the system chooses the port.
	loopback = "127.0.0.1:0"
	// readyMillis bounds the time until a daemon has a seat and the document.
	readyMillis = 20 * tiller.Second
	// keyMillis is the validity of the trial authority and its certificates.
	keyMillis = 24 * tiller.Hour
)

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
	// PropagationMillis is the time within which a document is in force everywhere; 0 means the bound of the
	// target size, which delays the first query by it.
	PropagationMillis tiller.Millis
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
	cfg Config
	// Fakes are the platform and the upstreams.
	Fakes *faker.Fleet
	// Document is the document in force, with the addresses of the fakes.
	Document *tiller.Document
	// Members are the daemons by VM; a stopped one is nil.
	Members []*joiner.Member

	authority *issuer.Authority
	// address is that of the platform.
	address string
}

// Start starts a fleet with as many daemons as the document has seats and waits until they are ready.
// Close ends it.
func Start(cfg Config) (*Fleet, error) {
	fakes, err := faker.NewFleet(*cfg.Document, cfg.Upstream, faker.StoreSettings{}, cfg.Clock)
	if err != nil {
		return nil, err
	}
	address, doc, err := fakes.Start()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		cfg:      cfg,
		Fakes:    fakes,
		Document: &doc,
		Members:  make([]*joiner.Member, doc.Seats),
		address:  address,
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	f.authority, err = issuer.NewAuthority("demonstration", time.Now(), keyMillis.Duration())
	if err != nil {
		return err
	}
	if err := f.store(); err != nil {
		return err
	}
	for vm := range f.Members {
		// A seat whose VM is not on the platform's list counts as free.
		f.Fakes.Platform.VMs.Register(platform.VM{Name: vmName(vm), Domain: f.domainOf(vm)})
	}
	for vm := range f.Members {
		if err := f.startMember(vm); err != nil {
			return err
		}
	}
	for vm := range f.Members {
		if err := f.awaitReady(vm); err != nil {
			return err
		}
	}
	return nil
}

// store writes the document to the fake store.
func (f *Fleet) store() error {
	text, err := decoder.Encode(f.Document)
	if err != nil {
		return err
	}
	if _, faults := decoder.DecodeDocument("", text); len(faults) > 0 {
		return fmt.Errorf("document: %s", faults)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	platform, err := keeper.Connect(f.address, client)
	if err != nil {
		return err
	}
	k := keeper.New(keeper.Config{
		Platform:    platform,
		Environment: f.Document.Environment,
		Clock:       f.cfg.Clock,
		Sleep:       func(ctx context.Context, _ tiller.Millis) error { return ctx.Err() },
		Random:      func(int64) int64 { return 0 },
	})
	ctx, cancel := context.WithTimeout(context.Background(), readyMillis.Duration())
	defer cancel()
	_, err = k.Accept(ctx, keeper.Change{
		Environment: f.Document.Environment,
		Operation:   "start",
		Operator:    "demonstrator",
		Text:        string(text),
	})
	return err
}

func vmName(vm int) string {
	return fmt.Sprint("vm-", vm)
}

func (f *Fleet) domainOf(vm int) string {
	return f.Document.Domains[vm%len(f.Document.Domains)].Name
}

// startMember starts the daemon of a VM.
func (f *Fleet) startMember(vm int) error {
	pair, err := f.authority.Issue(vmName(vm), time.Now(), keyMillis.Duration())
	if err != nil {
		return err
	}
	keys, err := messenger.NewKeys(f.authority.Pair().Certificate, pair.Certificate, pair.Key)
	if err != nil {
		return err
	}
	f.Members[vm], err = joiner.Start(joiner.Config{
		Clock:             f.cfg.Clock,
		Logger:            f.cfg.Logger.WithValues("VM", vmName(vm)),
		Name:              vmName(vm),
		Domain:            f.domainOf(vm),
		Environment:       f.Document.Environment,
		CallerAddress:     loopback,
		OperatorAddress:   loopback,
		PeerAddress:       loopback,
		PlatformAddresses: []string{f.address},
		Keys:              keys,
		DrainMillis:       f.cfg.DrainMillis,
		PropagationMillis: f.cfg.PropagationMillis,
	})
	return err
}

// awaitReady waits until the daemon of a VM is ready.
func (f *Fleet) awaitReady(vm int) error {
	deadline := time.Now().Add(readyMillis.Duration())
	for !f.Daemon(vm).IsReady() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready after %d ms", vmName(vm), readyMillis)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Daemon returns the daemon of a VM.
func (f *Fleet) Daemon(vm int) *assembler.Daemon {
	return f.Members[vm].Daemon()
}

// StartDaemon starts the daemon of a VM, which has none, and waits until it is ready.
func (f *Fleet) StartDaemon(vm int) error {
	if err := f.startMember(vm); err != nil {
		return err
	}
	return f.awaitReady(vm)
}

// StopDaemon stops the daemon of a VM as planned.
func (f *Fleet) StopDaemon(ctx context.Context, vm int) error {
	err := f.Members[vm].Stop(ctx)
	f.Members[vm] = nil
	return err
}

// Stop stops every daemon as planned, all at the same time, and then the fakes.
func (f *Fleet) Stop(ctx context.Context) error {
	errs := make([]error, len(f.Members))
	var tasks sync.WaitGroup
	for vm, m := range f.Members {
		if m != nil {
			tasks.Go(func() { errs[vm] = m.Stop(ctx) })
		}
	}
	tasks.Wait()
	f.Close()
	return errors.Join(errs...)
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m != nil {
			m.Close()
		}
	}
	f.Fakes.Close()
}
