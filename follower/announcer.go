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
	// leaseMillis is the time after which a daemon that stopped renewing is no longer a member.
	leaseMillis = 20 * tiller.Second
	// renewMillis is the time between renewals, so that two may fail.
	renewMillis = 6 * tiller.Second
	// announceRetryMillis is the longest pause after a failed call. Each call is priced, and the
	// others reach a daemon whose entry is missing no worse than before for a while.
	announceRetryMillis = 3 * tiller.Second
)

// ParseMember decodes the entry of a daemon.
func ParseMember(data []byte) (cataloger.Member, error) {
	var m cataloger.Member
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode the entry of a daemon")
	}
	if m.VM == "" || m.Address == "" || m.Region == "" {
		return m, errors.New("the entry of a daemon has no VM, address or region")
	}
	return m, nil
}

// Announcer keeps the entry of one daemon in the store under a lease.
type Announcer struct {
	store  *platform.Store
	log    logr.Logger
	member cataloger.Member
	lost   chan struct{}
	lease  int64
}

// NewAnnouncer returns an announcer of member.
func NewAnnouncer(store *platform.Store, log logr.Logger, member cataloger.Member) *Announcer {
	return &Announcer{store: store, log: log, member: member, lost: make(chan struct{}, 1)}
}

// Lost says that the own entry was removed from the store, so that it is written again. It may be
// called concurrently.
func (a *Announcer) Lost() {
	select {
	case a.lost <- struct{}{}:
	default:
	}
}

// Run announces the daemon until ctx ends, and removes its entry then.
func (a *Announcer) Run(ctx context.Context) {
	failed := newBackoff(announceRetryMillis)
	for ctx.Err() == nil {
		err := a.hold(ctx)
		if err == nil || ctx.Err() != nil {
			failed.reset()
			continue
		}
		a.log.Info("Daemon is not announced", "Cause", err.Error(), "Lease", a.lease)
		failed.wait(ctx)
	}
	if a.lease == 0 {
		return
	}
	if err := a.store.Revoke(context.Background(), a.lease); err != nil {
		a.log.Info("Own entry stays until its lease ends", "Cause", err.Error())
	}
}

// hold takes a lease if there is none, writes the entry, and renews the lease until something fails.
func (a *Announcer) hold(ctx context.Context) error {
	if a.lease == 0 {
		lease, err := a.store.Grant(ctx, leaseMillis)
		if err != nil {
			return err
		}
		a.lease = lease
	}
	value, err := json.Marshal(a.member)
	if err != nil {
		return errors.Wrap(err, "encode the own entry")
	}
	write := platform.Write{Key: platform.MemberKey(a.member.VM), Value: value, Lease: a.lease}
	if _, err := a.store.Transact(ctx, nil, []platform.Write{write}, nil); err != nil {
		return a.drop(err)
	}
	a.log.Info("Daemon announced", "Lease", a.lease, "Address", a.member.Address)
	for {
		if a.wait(ctx) {
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := a.store.Renew(ctx, a.lease); err != nil {
			return a.drop(err)
		}
	}
}

// wait waits until the next renewal. It says whether the entry was found missing before.
func (a *Announcer) wait(ctx context.Context) bool {
	timer, cancel := context.WithTimeout(ctx, renewMillis.Duration())
	defer cancel()
	select {
	case <-timer.Done():
		return false
	case <-a.lost:
		a.log.Info("Own entry is missing", "Lease", a.lease)
		sleep(ctx, retryMillis)
		return true
	}
}

// drop forgets a lease that has ended.
func (a *Announcer) drop(err error) error {
	if errors.Is(err, platform.ErrNoLease) {
		a.lease = 0
	}
	return err
}
