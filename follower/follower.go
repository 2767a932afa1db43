// Package follower keeps a daemon in step with the platform's store: it reads the configuration,
// the upstreams and the other daemons, follows their changes, and turns them into events.
//
// In each region one daemon watches the store and hands the changes to the others, so that calls
// of the store do not grow with the fleet. A daemon whose source fails or falls behind takes the
// next one, or watches the store itself.
package follower

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

const (
	// probeMillis is the wait of the first watch after the store was lost.
	probeMillis = 1
	// retryMillis and maxRetryMillis bound the pause after a failed call.
	retryMillis    = 100
	maxRetryMillis = 400
	// returnMillis is the time after the return of the store within which upstreams that live
	// have entered themselves again. The platform names about two seconds.
	returnMillis = 2200
)

// Follower follows the store. Run is its only goroutine; ServeChanges may be called concurrently.
type Follower struct {
	clock   tiller.Clock
	store   *platform.Store
	client  *forwarder.Client
	log     logr.Logger
	regions map[string]string
	self    cataloger.Member
	emit    func(gatherer.Event)
	// lost is called when the daemon's own entry was removed.
	lost func()

	table   *Table
	members map[string]cataloger.Member
	// missing holds upstreams without an entry that may still enter themselves again, with the time
	// at which they are given up.
	missing map[string]tiller.Millis
	// penalty holds daemons that failed as a source, with the time until which they are left out.
	penalty map[string]tiller.Millis
	pace    Pace
	// failures is the number of calls of the store that failed in a row.
	failures int
	// answeredAt is the time at which the store last answered this daemon.
	answeredAt tiller.Millis
	// tryStoreAt is the time at which a store that failed is asked again.
	tryStoreAt tiller.Millis
	// direct says that the store was the last source.
	direct bool
	// busy is the number of watches in a row that brought changes.
	busy int
	// trustAt is the time from which a missing entry means that its upstream is gone.
	trustAt atomic.Int64
	mu      sync.Mutex
	encoded encodedUpdate
	// heard is the time at which the store was last heard of.
	heard atomic.Int64
}

// Seams are the functions through which a Follower acts.
type Seams struct {
	// Emit takes events.
	Emit func(gatherer.Event)
	// Lost is called when the daemon's own entry was removed from the store.
	Lost func()
}

// New returns a Follower for the daemon self. regions maps failure domains to regions. client
// reaches other daemons.
func New(clock tiller.Clock, store *platform.Store, client *forwarder.Client, log logr.Logger,
	regions map[string]string, self cataloger.Member, pace Pace, seams Seams,
) *Follower {
	return &Follower{
		clock: clock, store: store, client: client, log: log, regions: regions, self: self,
		emit: seams.Emit, lost: seams.Lost, pace: pace,
		table:   NewTable(),
		members: make(map[string]cataloger.Member),
		missing: make(map[string]tiller.Millis),
		penalty: make(map[string]tiller.Millis),
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failed := newBackoff(maxRetryMillis)
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		f.giveUp()
		if err == nil {
			failed.reset()
			if f.direct {
				sleep(ctx, f.pace.Gather(f.busy))
			}
			continue
		}
		f.lose(err)
		failed.wait(ctx)
	}
}

// follow reads everything once, and from then on waits for changes.
func (f *Follower) follow(ctx context.Context) error {
	f.direct = true
	if f.table.Revision() == 0 {
		return f.readAll(ctx, true)
	}
	from := f.source()
	switch from.origin {
	case fromPeer:
		f.direct = false
		return f.followRelay(ctx, from)
	case fromNone:
		sleep(ctx, min(max(f.tryStoreAt-f.clock.Now(), 1), retryMillis))
		return nil
	}
	items, revision, err := f.store.Watch(ctx, "", f.table.Revision(), f.watchTime())
	if errors.Is(err, platform.ErrCompacted) {
		f.log.Info("History of the store is gone, reading everything", "After", f.table.Revision())
		return f.readAll(ctx, false)
	}
	if err != nil {
		return err
	}
	f.regain()
	f.busy++
	if len(items) == 0 {
		f.busy = 0
	}
	f.applyAll(items, revision, false)
	return nil
}

// watchTime is shorter while upstreams are missing, so that they are given up in time.
func (f *Follower) watchTime() tiller.Millis {
	if f.failing() {
		// An immediate answer shows sooner than a waiting watch that the store is back.
		return probeMillis
	}
	wait := f.pace.Watch(f.busy)
	now := f.clock.Now()
	for _, at := range f.missing {
		wait = min(wait, max(at-now, 1))
	}
	return wait
}

// readAll reads all entries. Stale reads are cheap and begin at an older state, from which the next
// watch goes on.
func (f *Follower) readAll(ctx context.Context, stale bool) error {
	var items []platform.Item
	var first int64
	for _, prefix := range []string{platform.OperatorsPrefix(), platform.UpstreamPrefix(), platform.MemberPrefix()} {
		page, revision, err := f.store.Range(ctx, prefix, stale)
		if err != nil {
			return err
		}
		items = append(items, page...)
		if first == 0 || revision < first {
			first = revision
		}
	}
	f.regain()
	if f.table.Revision() > 0 {
		f.table.Reset(first)
	}
	f.applyAll(items, first, true)
	f.emit(gatherer.StoreRead{})
	f.log.Info("Read the store", "Revision", first, "Keys", len(items), "Stale", stale)
	return nil
}

// applyAll applies items that lead to a revision. When they are whole, known entries that are not
// among them have been removed.
func (f *Follower) applyAll(items []platform.Item, revision int64, whole bool) {
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
		f.apply(item)
	}
	if whole {
		for _, key := range f.table.Missing(seen, revision) {
			f.apply(platform.Item{Key: key, Revision: revision + 1, Deleted: true})
		}
	}
	f.table.Advance(revision)
}

// apply turns the state of one key into events.
func (f *Follower) apply(item platform.Item) {
	if !f.table.Apply(item) {
		return
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
	f.log.Info("Configuration read", "Version", c.Version, "Revision", item.Revision, "Routes", c.Routes(), "Direct", f.direct)
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
	trustAt := tiller.Millis(f.trustAt.Load())
	if now := f.clock.Now(); now < trustAt {
		f.missing[id] = trustAt
		f.log.Info("Upstream is missing after the store's return", "Upstream", id, "GivenUpIn", trustAt-now)
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
		if vm == f.self.VM {
			f.lost()
		}
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
}

// failing says that the last call of the store failed.
func (f *Follower) failing() bool { return f.failures > 0 }

// lose notes that the store cannot be reached.
func (f *Follower) lose(err error) {
	if !f.failing() {
		f.log.Info("Store lost", "Cause", strings.TrimSpace(err.Error()), "Revision", f.table.Revision())
	}
	now := f.clock.Now()
	f.tryStoreAt = now + f.pace.TryStore(f.failures, now-f.answeredAt)
	f.failures++
	f.store.CloseConnections()
}

// regain notes that the store has answered. After an outage upstreams get some time to enter
// themselves again.
func (f *Follower) regain() {
	now := f.clock.Now()
	f.heard.Store(int64(now))
	f.answeredAt = now
	if !f.failing() {
		return
	}
	f.failures = 0
	f.trustAt.Store(int64(now + returnMillis))
	f.log.Info("Store regained", "Revision", f.table.Revision())
}

func sleep(ctx context.Context, d tiller.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
