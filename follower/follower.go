// Package follower keeps a daemon up to date with the platform's store. It reads the configuration,
// the upstreams and the members of the fleet, follows their changes, and emits them as events.
//
// In each region one daemon watches the store and relays the changes to the others, so that the number
// of store calls does not grow with the fleet. A daemon whose source fails or falls behind switches to
// the next daemon, or watches the store itself.
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
	// probeWaitMillis is how long a watch waits for changes while the store is failing.
	probeWaitMillis = 1
	// retryMillis and maxRetryMillis are the initial and the longest pause after a failed call, before
	// jitter.
	retryMillis    = 100
	maxRetryMillis = 400
	// applyBatch entries are applied at a time, with a pause of applyPauseMillis after them. When hundreds of upstreams
	// change at once, a weak VM would otherwise serve no query meanwhile.
	applyBatch       = 16
	applyPauseMillis = 1
	// reregisterMillis is the time after a store outage within which running upstreams have registered
	// again. The platform states about two seconds.
	reregisterMillis = 2200
)

// Follower follows the store. It starts no goroutines. ServeChanges may be called concurrently with
// Run.
type Follower struct {
	clock   tiller.Clock
	store   *platform.Store
	client  *forwarder.Client
	log     logr.Logger
	regions map[string]string
	self    cataloger.Member
	// pause lets queries be served between two batches of entries.
	pause func()
	// seeds are the addresses of daemons that may hand this one the entries at its start.
	seeds []string
	emit  func(gatherer.Event)
	// entryRemoved is called when the daemon's own entry was removed from the store.
	entryRemoved func()

	table   *Table
	members map[string]cataloger.Member
	// membersChanged is true if members changed since the last MembersChanged event.
	membersChanged bool
	// missingUntil holds the upstreams without an entry that may still register again, with the time
	// at which they are removed.
	missingUntil map[string]tiller.Millis
	// keptUntil holds the keys whose state of an earlier era stays in force, with the time until which it does.
	keptUntil map[string]tiller.Millis
	// excludedUntil holds the daemons that failed as a source, with the time until which they are not
	// used.
	excludedUntil map[string]tiller.Millis
	timing        Timing
	// failures is the number of consecutive failed store calls.
	failures int
	// lastAnswerAt is the time at which the store last answered this daemon.
	lastAnswerAt tiller.Millis
	// storeRetryAt is the time at which a failing store is called again.
	storeRetryAt tiller.Millis
	// readsStore is false if changes were last requested from another daemon.
	readsStore bool
	// changedWatches is the number of consecutive watches that returned changes.
	changedWatches int
	// graceEnd is the end of the grace period after a store outage. Before it, an upstream without an
	// entry may still register again; from then on, the upstream is gone.
	graceEnd atomic.Int64
	mu       sync.Mutex
	encoded  encodedUpdate

	// contactAt is the time of the store's last answer to this daemon or to a daemon that it follows.
	contactAt atomic.Int64
}

// Callbacks are the functions that a Follower calls from Run.
type Callbacks struct {
	// Emit handles an event.
	Emit func(gatherer.Event)
	// Lost is called when the daemon's own entry was removed from the store.
	Lost func()
}

// New returns a Follower for the daemon self. regions maps failure domains to regions, seeds are addresses of
// daemons. client sends requests to other daemons.
func New(clock tiller.Clock, store *platform.Store, client *forwarder.Client, log logr.Logger,
	regions map[string]string, self cataloger.Member, seeds []string, timing Timing, callbacks Callbacks,
) *Follower {
	return &Follower{
		clock: clock, store: store, client: client, log: log, regions: regions, self: self, seeds: seeds,
		emit: callbacks.Emit, entryRemoved: callbacks.Lost, timing: timing,
		pause:         func() { time.Sleep(applyPauseMillis * time.Millisecond) },
		table:         NewTable(),
		members:       make(map[string]cataloger.Member),
		missingUntil:  make(map[string]tiller.Millis),
		keptUntil:     make(map[string]tiller.Millis),
		excludedUntil: make(map[string]tiller.Millis),
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := newBackoff(maxRetryMillis)
	for ctx.Err() == nil {
		err := f.fetchChanges(ctx)
		if ctx.Err() != nil {
			return
		}
		f.removeExpired()
		if err == nil {
			retry.reset()
			if f.readsStore {
				sleep(ctx, f.timing.BatchDelay(f.changedWatches))
			}
			continue
		}
		f.noteStoreFailure(err)
		retry.wait(ctx)
	}
}

// fetchChanges reads all entries the first time, and after that waits for changes from the current
// source.
func (f *Follower) fetchChanges(ctx context.Context) error {
	f.readsStore = true
	if f.table.Revision() == 0 {
		if f.failures == 0 && f.readSeed(ctx) {
			return nil
		}
		return f.readAll(ctx, true)
	}
	from := f.nextSource()
	switch from.origin {
	case fromPeer:
		f.readsStore = false
		return f.followRelay(ctx, from)
	case fromNone:
		sleep(ctx, min(max(f.storeRetryAt-f.clock.Now(), 1), retryMillis))
		return nil
	}
	after := f.table.Position()
	items, position, err := f.store.Watch(ctx, "", after, f.watchWait())
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
		f.log.Info("Changes of the store cannot be followed, reading all entries", "Cause", err.Error(), "After", after.Revision, "Era", after.Era)
		return f.readAll(ctx, false)
	}
	if err != nil {
		return err
	}
	f.noteStoreAnswer()
	f.changedWatches++
	if len(items) == 0 {
		f.changedWatches = 0
	}
	f.applyAll(items, position, false)
	return nil
}

// watchWait returns how long the next watch waits for changes. The wait ends before a missing upstream
// must be removed, or a kept state ends.
func (f *Follower) watchWait() tiller.Millis {
	if f.storeFailing() {
		// A watch that returns at once shows earlier than a waiting one that the store has recovered.
		return probeWaitMillis
	}
	wait := f.timing.WatchWait(f.changedWatches)
	now := f.clock.Now()
	for _, waiting := range []map[string]tiller.Millis{f.missingUntil, f.keptUntil} {
		for _, at := range waiting {
			wait = min(wait, max(at-now, 1))
		}
	}
	return wait
}

// readAll reads all entries. Stale reads are cheap and return an older state; the next watch continues
// from the oldest revision. It fails if the answers are of different eras, or of an earlier one than the table.
func (f *Follower) readAll(ctx context.Context, stale bool) error {
	var items []platform.Item
	var oldest platform.Position
	for i, prefix := range []string{platform.OperatorsPrefix(), platform.UpstreamPrefix(), platform.FleetPrefix(), platform.StatusPrefix()} {
		page, position, err := f.store.Range(ctx, prefix, stale)
		if err == nil && stale && position.Revision == 0 {
			// It is not known which revision the stale read reflects.
			page, position, err = f.store.Range(ctx, prefix, false)
		}
		if err != nil {
			return err
		}
		if i > 0 && position.Era != oldest.Era {
			return errors.Errorf("entries under %q are of era %d, others of era %d", prefix, position.Era, oldest.Era)
		}
		items = append(items, page...)
		if i == 0 || position.Before(oldest) {
			oldest = position
		}
	}
	if known := f.table.Position().Era; oldest.Era < known {
		return errors.Wrapf(platform.ErrOutdated, "entries are of era %d, the known ones of era %d", oldest.Era, known)
	}
	f.noteStoreAnswer()
	f.applyAll(items, oldest, true)
	f.emitRead()
	f.log.Info("Read the store", "Era", oldest.Era, "Revision", oldest.Revision, "Keys", len(items), "Stale", stale)
	return nil
}

// emitRead emits that all entries are known.
func (f *Follower) emitRead() { f.emit(gatherer.StoreRead{}) }

// applyAll applies items that lead to a position. If whole is true, items are the complete state, and
// known entries that are not among them are removed. Only a complete state may be of another era than the known one.
func (f *Follower) applyAll(items []platform.Item, to platform.Position, whole bool) {
	if from := f.table.Position(); whole && from.Revision > 0 && from.Era != to.Era {
		f.applyRestored(items, to)
		return
	}
	if whole {
		f.table.Reset(to.Revision)
	}
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		seen[item.Key] = true
		f.apply(item)
		if i%applyBatch == applyBatch-1 && f.table.Revision() > 0 {
			f.pause()
		}
	}
	if whole {
		for _, key := range f.table.Missing(seen, to.Revision) {
			f.apply(platform.Item{Key: key, Revision: to.Revision + 1, Deleted: true})
		}
	}
	f.emitMembers()
	f.table.Advance(to)
}

// apply stores the state of one key and emits the events that follow from it.
func (f *Follower) apply(item platform.Item) {
	if f.table.Apply(item) {
		f.emitState(item)
	}
}

// emitState emits the events that follow from the state of one key. A state that was kept for the key ends.
func (f *Follower) emitState(item platform.Item) {
	delete(f.keptUntil, item.Key)
	if id, ok := platform.UpstreamID(item.Key); ok {
		f.applyUpstream(id, item)
	} else if domain, ok := platform.EvacuatedDomain(item.Key); ok {
		f.applyEvacuation(domain, item)
	} else if vm, ok := platform.MemberVM(item.Key); ok {
		f.applyMember(vm, item)
	} else if f.applyRolloutKey(item) {
		return
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
	f.log.Info("Configuration read", "Version", c.Version, "Revision", item.Revision, "Routes", c.Routes(), "Direct", f.readsStore)
	f.emit(gatherer.ConfigurationChanged{Configuration: c})
}

func (f *Follower) applyUpstream(id string, item platform.Item) {
	if item.Deleted {
		f.removeUpstream(id)
		return
	}
	u, err := platform.ParseUpstream(id, item.Value, f.regions)
	if err != nil {
		f.log.Info("Invalid entry of an upstream skipped", "Upstream", id, "Cause", err.Error())
		f.removeUpstream(id)
		return
	}
	delete(f.missingUntil, id)
	f.log.V(1).Info("Upstream changed", "Upstream", id, "Service", u.Service, "Draining", u.Draining, "Cold", u.Cold)
	f.emit(gatherer.UpstreamChanged{Upstream: u})
}

// removeUpstream emits that an upstream is gone. In the grace period after a store outage it gives the
// upstream time to register again instead.
func (f *Follower) removeUpstream(id string) {
	graceEnd := tiller.Millis(f.graceEnd.Load())
	if now := f.clock.Now(); now < graceEnd {
		f.missingUntil[id] = graceEnd
		f.log.Info("Upstream is missing after the store's return", "Upstream", id, "GivenUpIn", graceEnd-now)
		return
	}
	f.log.Info("Upstream is gone", "Upstream", id)
	f.emit(gatherer.UpstreamGone{ID: id})
}

// removeExpired removes the missing upstreams whose grace period has ended, and ends kept states.
func (f *Follower) removeExpired() {
	f.endKept()
	now := f.clock.Now()
	for id, at := range f.missingUntil {
		if now >= at {
			delete(f.missingUntil, id)
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
			f.entryRemoved()
		}
	} else {
		m, err := ParseMember(item.Value)
		if err != nil {
			f.log.Info("Invalid entry of a daemon skipped", "VM", vm, "Cause", err.Error())
			return
		}
		f.members[vm] = m
	}
	f.membersChanged = true
}

// emitMembers emits the members if they have changed. It does so once for all entries of an update, because the
// event lists the whole fleet.
func (f *Follower) emitMembers() {
	if !f.membersChanged {
		return
	}
	f.membersChanged = false
	members := make([]cataloger.Member, 0, len(f.members))
	for _, m := range f.members {
		members = append(members, m)
	}
	f.emit(gatherer.MembersChanged{Members: members})
}

// storeFailing reports whether the last store call failed.
func (f *Follower) storeFailing() bool { return f.failures > 0 }

// noteStoreFailure records a failed store call and schedules the next one.
func (f *Follower) noteStoreFailure(err error) {
	if !f.storeFailing() {
		known := f.table.Position()
		f.log.Info("Store lost", "Cause", strings.TrimSpace(err.Error()), "Era", known.Era, "Revision", known.Revision)
	}
	now := f.clock.Now()
	f.storeRetryAt = now + f.timing.StoreRetryDelay(f.failures, now-f.lastAnswerAt)
	f.failures++
	f.store.CloseConnections()
}

// noteStoreAnswer records an answer of the store. After an outage it starts the grace period in which
// upstreams may register again.
func (f *Follower) noteStoreAnswer() {
	now := f.clock.Now()
	f.contactAt.Store(int64(now))
	f.lastAnswerAt = now
	if !f.storeFailing() {
		return
	}
	f.failures = 0
	f.graceEnd.Store(int64(now + reregisterMillis))
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
