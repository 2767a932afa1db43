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
	// loopback is the listen address of every daemon. The operating system chooses the port.
	loopback = "127.0.0.1:0"
	// readyMillis is the time limit for a daemon to get a seat and the document, and for writing the first document.
	readyMillis = 20 * tiller.Second
	// certificateMillis is the validity period of the test certificate authority and of its certificates.
	certificateMillis = 24 * tiller.Hour
)

// Config holds the settings of a Fleet.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// Document is the document that the fleet serves. Start replaces its upstream addresses with those of the fakes,
	// in a copy.
	Document *tiller.Document
	// Upstream holds the settings of the fake upstreams that are not in the document. Search is required.
	Upstream faker.UpstreamSettings
	// DrainMillis is the time at the start of a planned stop in which a daemon still accepts new work.
	DrainMillis tiller.Millis
	// PropagationMillis is the time within which all daemons have applied a document. 0 means the bound for a fleet
	// of the target size, which delays the first query by that time.
	PropagationMillis tiller.Millis
}

// DefaultUpstream returns settings for fake upstreams with short queues and short service times that answer
// with search.
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

// Fleet is a running fleet of daemons with its fake platform and fake upstreams.
type Fleet struct {
	cfg Config
	// Fakes are the platform and the upstreams.
	Fakes *faker.Fleet
	// Document is the current document, with the addresses of the fakes.
	Document *tiller.Document
	// Members holds the members of the fleet, indexed by VM. The entry of a stopped daemon is nil.
	Members []*joiner.Member

	authority *issuer.Authority
	// address is the address of the fake platform.
	address string
}

// Start starts a fleet with one daemon for each seat of the document and waits until all daemons are ready.
// The caller ends the fleet with Stop or Close.
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
	f.authority, err = issuer.NewAuthority("demonstration", time.Now(), certificateMillis.Duration())
	if err != nil {
		return err
	}
	if err := f.writeDocument(); err != nil {
		return err
	}
	for vm := range f.Members {
		// All VMs are registered before the first daemon starts: a seat whose VM the platform does not list counts as free.
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

// writeDocument writes the document to the store of the fake platform.
func (f *Fleet) writeDocument() error {
	text, err := decoder.Encode(f.Document)
	if err != nil {
		return err
	}
	if _, faults := decoder.DecodeDocument("", text); len(faults) > 0 {
		return fmt.Errorf("invalid document: %s", faults)
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

// startMember issues a certificate for a VM and starts its daemon.
func (f *Fleet) startMember(vm int) error {
	pair, err := f.authority.Issue(vmName(vm), time.Now(), certificateMillis.Duration())
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

// awaitReady waits up to readyMillis until the daemon of a VM is ready.
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

// Daemon returns the daemon of a VM. It must not be called for a stopped daemon.
func (f *Fleet) Daemon(vm int) *assembler.Daemon {
	return f.Members[vm].Daemon()
}

// StartDaemon starts a daemon on a VM whose daemon was stopped, and waits until it is ready.
func (f *Fleet) StartDaemon(vm int) error {
	if err := f.startMember(vm); err != nil {
		return err
	}
	return f.awaitReady(vm)
}

// StopDaemon performs a planned stop of the daemon of a VM.
func (f *Fleet) StopDaemon(ctx context.Context, vm int) error {
	err := f.Members[vm].Stop(ctx)
	f.Members[vm] = nil
	return err
}

// Stop performs a planned stop of all daemons concurrently, and then stops the fakes.
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

// Close stops all daemons and the fakes immediately, without a planned stop.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if m != nil {
			m.Close()
		}
	}
	f.Fakes.Close()
}
