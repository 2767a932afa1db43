// Package follower keeps a daemon in step with the platform's store: it reads the configuration,
// the upstreams and the other daemons, watches for changes, and turns them into events.
package follower

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

const (
	// watchMillis is the time that one watch waits. Each watch is a priced call; a watch that was
	// cut without notice is found when it ends, which must be within the time to notice a change.
	watchMillis = 3500 * tiller.Millis(1)
	// probeMillis is the wait of the first watch after the store was lost.
	probeMillis = 1
	// gatherMillis is the pause between two watches, in which changes gather that come in a row.
	// It is far below the times in which changes must be in force.
	gatherMillis = 150
	// retryMillis and maxRetryMillis bound the pause after a failed call.
	retryMillis    = 100
	maxRetryMillis = 400
	// returnMillis is the time after the return of the store within which upstreams that live
	// have entered themselves again. The platform names about two seconds.
	returnMillis = 2200
)

// Follower follows the store. Run is its only goroutine.
type Follower struct {
	clock   tiller.Clock
	store   *platform.Store
	log     logr.Logger
	regions map[string]string
	emit    func(gatherer.Event)
	// changed is told the keys of the fleet's members after each change.
	changed func(members []cataloger.Member)

	revision  int64
	known     map[string]int64
	members   map[string]cataloger.Member
	evacuated map[string]bool
	// missing holds upstreams without an entry that may still enter themselves again, with the time
	// at which they are given up.
	missing map[string]tiller.Millis
	failing bool
	// trustAt is the time from which a missing entry means that its upstream is gone.
	trustAt tiller.Millis
	// doubt ends the watch that is waiting.
	doubt atomic.Pointer[context.CancelFunc]
}

// Doubt ends the watch that is waiting, because another call of the store failed. It may be
// called concurrently.
func (f *Follower) Doubt() {
	if cancel := f.doubt.Load(); cancel != nil {
		(*cancel)()
	}
}

// New returns a Follower. regions maps failure domains to regions. emit takes events; changed is
// called with the members of the fleet whenever they change.
func New(clock tiller.Clock, store *platform.Store, log logr.Logger, regions map[string]string,
	emit func(gatherer.Event), changed func([]cataloger.Member),
) *Follower {
	return &Follower{
		clock: clock, store: store, log: log, regions: regions, emit: emit, changed: changed,
		known:     make(map[string]int64),
		members:   make(map[string]cataloger.Member),
		evacuated: make(map[string]bool),
		missing:   make(map[string]tiller.Millis),
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := tiller.Millis(retryMillis)
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = retryMillis
			sleep(ctx, gatherMillis)
			continue
		}
		f.lose(err)
		sleep(ctx, pause/2+tiller.Millis(rand.Int64N(int64(pause))))
		pause = min(2*pause, maxRetryMillis)
	}
}

// follow reads everything once, and from then on waits for changes.
func (f *Follower) follow(ctx context.Context) error {
	if f.revision == 0 {
		return f.readAll(ctx)
	}
	watch, cancel := context.WithCancel(ctx)
	f.doubt.Store(&cancel)
	items, revision, err := f.store.Watch(watch, "", f.revision, f.watchTime())
	cancel()
	if errors.Is(err, platform.ErrCompacted) {
		f.log.Info("History of the store is gone, reading everything", "After", f.revision)
		f.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.regain()
	for _, item := range items {
		f.apply(item)
	}
	f.revision = revision
	f.giveUp()
	return nil
}

// watchTime is shorter while upstreams are missing, so that they are given up in time.
func (f *Follower) watchTime() tiller.Millis {
	if f.failing {
		// An immediate answer shows sooner than a waiting watch that the store is back.
		return probeMillis
	}
	wait := watchMillis
	now := f.clock.Now()
	for _, at := range f.missing {
		wait = min(wait, max(at-now, 1))
	}
	return wait
}

// readAll reads all entries. Entries that were known and are missing have been removed.
func (f *Follower) readAll(ctx context.Context) error {
	seen := make(map[string]bool)
	var first int64
	for _, prefix := range []string{platform.OperatorsPrefix(), platform.UpstreamPrefix(), platform.MemberPrefix()} {
		items, revision, err := f.store.Range(ctx, prefix)
		if err != nil {
			return err
		}
		if first == 0 {
			first = revision
			f.regain()
		}
		for _, item := range items {
			seen[item.Key] = true
			f.apply(item)
		}
	}
	for key := range f.known {
		if !seen[key] {
			f.apply(platform.Item{Key: key, Revision: first, Deleted: true})
		}
	}
	f.revision = first
	f.log.Info("Read the store", "Revision", first, "Keys", len(seen))
	f.giveUp()
	return nil
}

// apply turns the state of one key into events. Older states than the known one are ignored.
func (f *Follower) apply(item platform.Item) {
	if item.Revision < f.known[item.Key] {
		return
	}
	if item.Deleted {
		delete(f.known, item.Key)
	} else if f.known[item.Key] == item.Revision {
		return
	} else {
		f.known[item.Key] = item.Revision
	}
	if id, ok := platform.UpstreamID(item.Key); ok {
		f.applyUpstream(id, item)
	} else if domain, ok := platform.EvacuatedDomain(item.Key); ok {
		f.applyEvacuation(domain, item)
	} else if vm, ok := platform.MemberVM(item.Key); ok {
		f.applyMember(vm, item)
	} else if platform.IsConfiguration(item.Key) && !item.Deleted {
		f.applyConfiguration(item)
	}
}

func (f *Follower) applyConfiguration(item platform.Item) {
	c, err := platform.ParseConfiguration(item.Value)
	if err != nil {
		f.log.Error(err, "Configuration cannot be read", "Revision", item.Revision)
		return
	}
	f.log.Info("Configuration read", "Version", c.Version, "Revision", item.Revision, "Routes", c.Routes())
	f.emit(gatherer.ConfigurationChanged{Configuration: c})
}

func (f *Follower) applyUpstream(id string, item platform.Item) {
	if item.Deleted {
		f.removeUpstream(id)
		return
	}
	u, err := platform.ParseUpstream(id, item.Value, f.regions)
	if err != nil {
		f.log.Info("Entry of an upstream is skipped", "Upstream", id, "Cause", err.Error())
		f.removeUpstream(id)
		return
	}
	delete(f.missing, id)
	f.log.V(1).Info("Upstream changed", "Upstream", id, "Service", u.Service, "Draining", u.Draining, "Cold", u.Cold)
	f.emit(gatherer.UpstreamChanged{Upstream: u})
}

// removeUpstream takes an upstream out, or waits for its return when the store was just away.
func (f *Follower) removeUpstream(id string) {
	if now := f.clock.Now(); now < f.trustAt {
		f.missing[id] = f.trustAt
		f.log.Info("Upstream is missing after the store's return", "Upstream", id, "GivenUpIn", f.trustAt-now)
		return
	}
	f.log.Info("Upstream is gone", "Upstream", id)
	f.emit(gatherer.UpstreamGone{ID: id})
}

// giveUp removes the upstreams that have been missing for too long.
func (f *Follower) giveUp() {
	now := f.clock.Now()
	for id, at := range f.missing {
		if now >= at {
			delete(f.missing, id)
			f.log.Info("Upstream did not return", "Upstream", id)
			f.emit(gatherer.UpstreamGone{ID: id})
		}
	}
}

func (f *Follower) applyEvacuation(domain string, item platform.Item) {
	f.log.Info("Failure domain changed", "Domain", domain, "Out", !item.Deleted, "Revision", item.Revision)
	f.emit(gatherer.DomainEvacuated{Domain: domain, Out: !item.Deleted})
}

func (f *Follower) applyMember(vm string, item platform.Item) {
	if item.Deleted {
		delete(f.members, vm)
	} else {
		m, err := ParseMember(item.Value)
		if err != nil {
			f.log.Info("Entry of a daemon is skipped", "VM", vm, "Cause", err.Error())
			return
		}
		f.members[vm] = m
	}
	members := make([]cataloger.Member, 0, len(f.members))
	for _, m := range f.members {
		members = append(members, m)
	}
	f.emit(gatherer.MembersChanged{Members: members})
	f.changed(members)
}

// lose notes that the store cannot be reached.
func (f *Follower) lose(err error) {
	if !f.failing {
		f.log.Info("Store lost", "Cause", strings.TrimSpace(err.Error()), "Revision", f.revision)
	}
	f.failing = true
	f.store.CloseConnections()
}

// regain notes that the store is back. Upstreams get some time to enter themselves again.
func (f *Follower) regain() {
	if !f.failing {
		return
	}
	f.failing = false
	f.trustAt = f.clock.Now() + returnMillis
	f.log.Info("Store regained", "Revision", f.revision)
}

func sleep(ctx context.Context, d tiller.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
