package follower

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/platform"
)

const (
	// leaseMillis is the time to live of the lease. A daemon that has not renewed it for that long is
	// no longer a member.
	leaseMillis = 20 * tiller.Second
	// renewMillis is the interval between renewals. The lease outlasts two failed renewals.
	renewMillis = 6 * tiller.Second
	// maxAnnounceRetryMillis is the longest pause after a failed call, before jitter. It is
	// this long because store calls are billed, and because a daemon whose entry is missing stays as
	// reachable for the others as before for a while.
	maxAnnounceRetryMillis = 3 * tiller.Second
)

// ParseMember decodes the member entry of a daemon.
func ParseMember(data []byte) (cataloger.Member, error) {
	var m cataloger.Member
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode the entry of a daemon")
	}
	if m.VM == "" || m.Address == "" || m.Region == "" {
		return m, errors.Errorf("the entry of a daemon lacks a VM, address or region: VM %q, address %q, region %q", m.VM, m.Address, m.Region)
	}
	return m, nil
}

// Announcer keeps the member entry of one daemon in the store under a lease.
type Announcer struct {
	store   *platform.Store
	log     logr.Logger
	member  cataloger.Member
	removed chan struct{}
	lease   int64
}

// NewAnnouncer returns an Announcer that publishes member.
func NewAnnouncer(store *platform.Store, log logr.Logger, member cataloger.Member) *Announcer {
	return &Announcer{store: store, log: log, member: member, removed: make(chan struct{}, 1)}
}

// EntryRemoved tells the Announcer that its entry was removed from the store, so that it writes the
// entry again. It may be called concurrently.
func (a *Announcer) EntryRemoved() {
	select {
	case a.removed <- struct{}{}:
	default:
	}
}

// Run publishes the entry until ctx ends, and then revokes the lease, which removes the entry.
func (a *Announcer) Run(ctx context.Context) {
	retry := newBackoff(maxAnnounceRetryMillis)
	for ctx.Err() == nil {
		err := a.keepRegistered(ctx)
		if err == nil || ctx.Err() != nil {
			retry.reset()
			continue
		}
		a.log.Info("Daemon is not announced", "Cause", err.Error(), "Lease", a.lease)
		retry.wait(ctx)
	}
	if a.lease == 0 {
		return
	}
	if err := a.store.Revoke(context.Background(), a.lease); err != nil {
		a.log.Info("Lease was not revoked, own entry stays until the lease expires", "Cause", err.Error())
	}
}

// keepRegistered acquires a lease if there is none, writes the entry, and renews the lease until a
// call fails. It returns nil if ctx ends or the entry must be written again.
func (a *Announcer) keepRegistered(ctx context.Context) error {
	if a.lease == 0 {
		lease, err := a.store.Grant(ctx, leaseMillis)
		if err != nil {
			return err
		}
		a.lease = lease
	}
	value, err := json.Marshal(a.member)
	if err != nil {
		return errors.Wrap(err, "encode own entry")
	}
	write := platform.Write{Key: platform.MemberKey(a.member.VM), Value: value, Lease: a.lease}
	if _, err := a.store.Transact(ctx, nil, []platform.Write{write}, nil); err != nil {
		return a.clearEndedLease(err)
	}
	a.log.Info("Daemon announced", "Lease", a.lease, "Address", a.member.Address)
	for {
		if a.waitRenewal(ctx) {
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := a.store.Renew(ctx, a.lease); err != nil {
			return a.clearEndedLease(err)
		}
	}
}

// waitRenewal waits until the next renewal is due. It returns true if the entry was removed before
// that.
func (a *Announcer) waitRenewal(ctx context.Context) bool {
	timer, cancel := context.WithTimeout(ctx, renewMillis.Duration())
	defer cancel()
	select {
	case <-timer.Done():
		return false
	case <-a.removed:
		a.log.Info("Own entry is missing", "Lease", a.lease)
		sleep(ctx, retryMillis)
		return true
	}
}

// clearEndedLease clears the lease if err reports that it has ended. It returns err.
func (a *Announcer) clearEndedLease(err error) error {
	if errors.Is(err, platform.ErrNoLease) {
		a.lease = 0
	}
	return err
}
