package embedder

import (
	"context"
	"sync"
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
	// incarnations and addresses are those of the daemons by seat.
	incarnations []int64
	addresses    []string
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
	})
	if err != nil {
		return nil, errors.Wrap(err, "embedded fleet")
	}
	f.doc.Store(f.fleet.Document)
	f.incarnations = make([]int64, len(f.fleet.Daemons))
	f.addresses = make([]string, len(f.fleet.Daemons))
	for seat := range f.fleet.Daemons {
		f.join(seat, 1)
	}
	return f, nil
}

// join puts a daemon that has just started into the rotation.
func (f *Fleet) join(seat int, incarnation int64) {
	f.incarnations[seat] = incarnation
	f.addresses[seat] = f.fleet.Daemons[seat].CallerAddress()
	f.Rotation.Add(f.addresses[seat])
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

// Apply puts a document with the next revision in force at every daemon.
func (f *Fleet) Apply(change func(*tiller.Document)) error {
	doc := *f.Document()
	doc.Domains = append([]tiller.Domain(nil), doc.Domains...)
	doc.Revision++
	change(&doc)
	f.fleet.Document = &doc
	f.doc.Store(&doc)
	var tasks sync.WaitGroup
	errs := make([]error, len(f.fleet.Daemons))
	for seat, d := range f.fleet.Daemons {
		if d != nil {
			tasks.Go(func() { errs[seat] = d.Apply(&doc) })
		}
	}
	tasks.Wait()
	return errors.Join(errs...)
}

// StopDaemon stops the daemon of a seat as planned. The load balancer notices during the drain time.
func (f *Fleet) StopDaemon(seat int) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	notice := time.AfterFunc(noticeTime, func() { f.Rotation.Remove(f.addresses[seat]) })
	defer notice.Stop()
	return f.fleet.StopDaemon(ctx, seat)
}

// KillDaemon ends the daemon of a seat at once. The load balancer notices later.
func (f *Fleet) KillDaemon(seat int) error {
	f.fleet.KillDaemon(seat)
	time.Sleep(noticeTime)
	f.Rotation.Remove(f.addresses[seat])
	return nil
}

// StartDaemon starts the daemon of a seat that has none.
func (f *Fleet) StartDaemon(seat int) error {
	if err := f.fleet.StartDaemon(seat, f.incarnations[seat]+1); err != nil {
		return err
	}
	f.join(seat, f.incarnations[seat]+1)
	return nil
}

// Close ends everything at once.
func (f *Fleet) Close() { f.fleet.Close() }
