package embedder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/faker"
)

const (
	// drainMillis is the part of a planned stop for which a daemon still takes new work.
	drainMillis tiller.Millis = 500
	// noticeTime is the time after which the load balancer notices that a daemon is not ready.
	noticeTime = 250 * time.Millisecond
	// changeTime bounds a change of the document.
	changeTime = 10 * time.Second
	// stopTime bounds a planned stop.
	stopTime = 10 * time.Second
)

// Config says what a fleet consists of.
type Config struct {
	Logger   logr.Logger
	Document *tiller.Document
	// Search is what the fake upstreams run.
	Search faker.SearchFunc
	// Service is the time that a request takes at an upstream; 0 means that of the demonstration.
	Service time.Duration
}

// Fleet is a fleet of daemons and fakes. Its methods may be called from any goroutine, but for those that
// change it, which must not be called concurrently with each other.
type Fleet struct {
	fleet *demonstrator.Fleet
	doc   atomic.Pointer[tiller.Document]
	// Rotation has the daemons that are ready.
	Rotation *sender.Rotation
	// settings are those of the fakes by name.
	settings map[string]faker.UpstreamSettings
	// addresses are those of the daemons by VM.
	addresses []string
}

// Start starts a fleet with one daemon for each seat of the document. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{Rotation: sender.NewRotation(), settings: map[string]faker.UpstreamSettings{}}
	base := demonstrator.DefaultUpstream(cfg.Search)
	if cfg.Service > 0 {
		base.ServiceMillis = tiller.FromDuration(cfg.Service)
	}
	for _, u := range cfg.Document.Upstreams {
		f.settings[u.Name] = base.WithUpstream(*cfg.Document, u)
	}
	var err error
	f.fleet, err = demonstrator.Start(demonstrator.Config{
		Clock:       tiller.SystemClock(),
		Logger:      cfg.Logger,
		Document:    cfg.Document,
		Upstream:    base,
		DrainMillis: drainMillis,
		// Every daemon has the first document before the first query.
		PropagationMillis: 1,
	})
	if err != nil {
		return nil, errors.Wrap(err, "embedded fleet")
	}
	f.doc.Store(f.fleet.Document)
	f.addresses = make([]string, len(f.fleet.Members))
	for vm := range f.fleet.Members {
		f.join(vm)
	}
	return f, nil
}

// join puts a daemon that has just started into the rotation.
func (f *Fleet) join(vm int) {
	f.addresses[vm] = f.fleet.Daemon(vm).CallerAddress()
	f.Rotation.Add(f.addresses[vm])
}

// Document returns the document in force.
func (f *Fleet) Document() *tiller.Document { return f.doc.Load() }

// Platform returns the fake platform.
func (f *Fleet) Platform() *faker.Platform { return f.fleet.Fakes.Platform }

// Upstreams returns the fake upstreams of a failure domain by name; an empty domain means all.
func (f *Fleet) Upstreams(domain string) map[string]*faker.Upstream {
	found := map[string]*faker.Upstream{}
	for _, u := range f.Document().Upstreams {
		if domain == "" || u.Domain == domain {
			found[u.Name] = f.fleet.Fakes.Upstreams[u.Name]
		}
	}
	return found
}

// Settings returns the settings of a fake upstream.
func (f *Fleet) Settings(upstream string) faker.UpstreamSettings { return f.settings[upstream] }

// Apply changes the document through a daemon and waits until the change is in force everywhere.
func (f *Fleet) Apply(change func(*tiller.Document)) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTime)
	defer cancel()
	if err := f.fleet.Change(ctx, change); err != nil {
		return err
	}
	f.doc.Store(f.fleet.Document)
	return nil
}

// StopDaemon stops the daemon of a VM as planned. The load balancer notices during the drain time.
func (f *Fleet) StopDaemon(vm int) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	notice := time.AfterFunc(noticeTime, func() { f.Rotation.Remove(f.addresses[vm]) })
	defer notice.Stop()
	return f.fleet.StopDaemon(ctx, vm)
}

// KillDaemon ends the daemon of a VM at once. The load balancer notices later.
func (f *Fleet) KillDaemon(vm int) error {
	f.fleet.KillDaemon(vm)
	time.Sleep(noticeTime)
	f.Rotation.Remove(f.addresses[vm])
	return nil
}

// StartDaemon starts the daemon of a VM that has none.
func (f *Fleet) StartDaemon(vm int) error {
	if err := f.fleet.StartDaemon(vm); err != nil {
		return err
	}
	f.join(vm)
	return nil
}

// Close ends everything at once.
func (f *Fleet) Close() { f.fleet.Close() }
