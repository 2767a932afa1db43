package keeper

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// SeatLeaseMillis is the length of the store lease on a seat. It is longer than
	// the outages of the store that a fleet must survive without losing a seat.
	SeatLeaseMillis = 2 * tiller.Hour
	// SeatRenewMillis is the time between two renewals of that lease, in milliseconds.
	SeatRenewMillis = 30 * tiller.Minute
)

// Errors of a claim.
var (
	// ErrNoSeat says that every seat is held.
	ErrNoSeat = errors.New("no free seat")
	// ErrNotListed says that the platform's list of VMs does not have the claimant's VM yet. Other processes
	// would take a seat claimed now for that of a VM that is gone.
	ErrNotListed = errors.New("the list of VMs does not have this VM yet")
)

// Claimant is the daemon process that wants a seat.
type Claimant struct {
	VM      string
	Address string
	Domain  string
	// Nonce differs between processes, so that a process recognises its own claim after a lost answer.
	Nonce string
}

// Seat is a claimed seat.
type Seat struct {
	Number      int
	Incarnation int64
	// Version is that of the key of the seat, as written by this process.
	Version int64
	// Lease is the store lease under which the seat is held.
	Lease int64
	// Until is the time until which the seat is held unless the lease is renewed.
	Until tiller.Millis
}

// holder is the value of the key that exists as long as a seat is held.
type holder struct {
	Claimant
	// Lease is the store lease of the key.
	Lease    int64
	Released bool
}

// holds says whether h is the claim of a process under a lease.
func (h holder) isHeldBy(c Claimant, lease int64) bool {
	return h.Nonce == c.Nonce && h.Lease == lease && !h.Released
}

// SeatOrder returns the seats in the order in which a daemon of a failure domain tries them:
// those of its own domain first, each group starting at a point given by start.
func SeatOrder(seats, domains, domain, start int) []int {
	own := make([]int, 0, seats)
	var others []int
	for i := range seats {
		seat := (start + i) % seats
		if domains > 0 && seat%domains == domain {
			own = append(own, seat)
		} else {
			others = append(others, seat)
		}
	}
	return append(own, others...)
}

// Claim claims the first free seat of order. It fails with ErrNoSeat when all are held,
// and with ErrNotListed when the list of VMs lacks the claimant's VM.
func (k *Keeper) Claim(ctx context.Context, c Claimant, order []int) (Seat, error) {
	live, err := k.liveVMs(ctx)
	if err != nil {
		return Seat{}, err
	}
	if !live[c.VM] {
		return Seat{}, ErrNotListed
	}
	var leased Seat
	for _, number := range order {
		free, _, _, err := k.checkSeat(ctx, c, Seat{Number: number}, live)
		if err != nil {
			return Seat{}, err
		}
		if !free {
			continue
		}
		if leased, err = k.ensureLease(ctx, leased); err != nil {
			return Seat{}, err
		}
		seat := Seat{Number: number, Lease: leased.Lease, Until: leased.Until}
		var acquired bool
		seat.Version, acquired, err = k.acquire(ctx, c, seat, live)
		if err != nil {
			return Seat{}, err
		}
		if !acquired {
			continue
		}
		seat.Incarnation, err = k.incrementIncarnation(ctx, number)
		return seat, err
	}
	return Seat{}, ErrNoSeat
}

// ensureLease returns s with a store lease. It asks for one only when a free seat has been seen,
// so that a process that waits for a seat leaves no unused leases behind.
func (k *Keeper) ensureLease(ctx context.Context, s Seat) (Seat, error) {
	if s.Lease != 0 {
		return s, nil
	}
	s.Until = k.cfg.Clock.Now() + SeatLeaseMillis
	lease, err := k.cfg.Platform.Grant(ctx, SeatLeaseMillis)
	s.Lease = lease
	return s, err
}

// Holds says whether a process still holds its seat, and not another process that took it for lost.
// A read that is older than the claim does not count against it. It fails with ErrNotFound when the key is not there,
// which for a lease that has just been renewed can only be an old read, too.
func (k *Keeper) Holds(ctx context.Context, c Claimant, s Seat) (bool, error) {
	h, version, err := k.readHolder(ctx, s.Number)
	if err != nil {
		return false, err
	}
	return version < s.Version || h.isHeldBy(c, s.Lease), nil
}

// Holder returns the process that holds a seat, if one does.
func (k *Keeper) Holder(ctx context.Context, number int) (c Claimant, held bool, err error) {
	h, _, err := k.readHolder(ctx, number)
	if errors.Is(err, ErrNotFound) {
		return Claimant{}, false, nil
	}
	return h.Claimant, err == nil && !h.Released, err
}

// Renew renews the lease of a seat.
func (k *Keeper) Renew(ctx context.Context, s Seat) (Seat, error) {
	requestedAt := k.cfg.Clock.Now()
	if err := k.cfg.Platform.KeepAlive(ctx, s.Lease); err != nil {
		return s, err
	}
	s.Until = requestedAt + SeatLeaseMillis
	return s, nil
}

// Release frees a seat at a planned stop, so that another process can claim it at once.
func (k *Keeper) Release(ctx context.Context, c Claimant, s Seat) error {
	h, version, err := k.readHolder(ctx, s.Number)
	if err != nil {
		return err
	}
	if !h.isHeldBy(c, s.Lease) {
		return nil
	}
	_, err = k.putHolder(ctx, s.Number, holder{Claimant: c, Lease: s.Lease, Released: true}, version)
	return err
}

// liveVMs returns the names of the VMs on the platform's list. The list lags,
// so a VM that it no longer has is gone, and one that it has may be gone too.
func (k *Keeper) liveVMs(ctx context.Context) (map[string]bool, error) {
	vms, err := k.cfg.Platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	live := make(map[string]bool, len(vms))
	for _, vm := range vms {
		live[vm.Name] = true
	}
	return live, nil
}

// lock takes the key that exists as long as a seat is held, and says whether this process holds it now
// and at which version of the key.
func (k *Keeper) acquire(ctx context.Context, c Claimant, s Seat, live map[string]bool) (version int64, acquired bool, err error) {
	for attempt := 0; ; attempt++ {
		free, own, version, err := k.checkSeat(ctx, c, s, live)
		if err != nil {
			return 0, false, err
		}
		if own {
			return version, true, nil
		}
		if !free {
			return 0, false, nil
		}
		written, err := k.putHolder(ctx, s.Number, holder{Claimant: c, Lease: s.Lease}, version)
		if err == nil {
			return written, true, nil
		}
		if errors.Is(err, ErrLeaseEnded) {
			return 0, false, err
		}
		// After a conflict or a lost answer the key is read again: it may hold this process's own claim.
		if waitErr := k.backoff(ctx, attempt); waitErr != nil {
			return 0, false, err
		}
	}
}

// inspect says whether a seat may be claimed, and whether this process has claimed it under the lease of s.
// A claim of this process under an earlier lease is free: its key would vanish with that lease.
func (k *Keeper) checkSeat(ctx context.Context, c Claimant, s Seat, live map[string]bool) (free, own bool, version int64, err error) {
	h, version, err := k.readHolder(ctx, s.Number)
	if errors.Is(err, ErrNotFound) {
		return true, false, 0, nil
	}
	if err != nil {
		return false, false, 0, err
	}
	// A claim by this VM is by an earlier process of it, which has ended.
	free = h.Released || h.VM == c.VM || !live[h.VM]
	return free, h.isHeldBy(c, s.Lease), version, nil
}

// readHolder reads the key that exists as long as a seat is held.
func (k *Keeper) readHolder(ctx context.Context, number int) (holder, int64, error) {
	e, err := k.cfg.Platform.Get(ctx, k.holderKey(number))
	if err != nil {
		return holder{}, 0, err
	}
	var h holder
	if err := json.Unmarshal([]byte(e.Value), &h); err != nil {
		return holder{}, 0, errors.Wrap(err, "decode holder")
	}
	return h, e.Version, nil
}

// putHolder writes the key of a seat and returns its new version.
func (k *Keeper) putHolder(ctx context.Context, number int, h holder, version int64) (int64, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return 0, err
	}
	e, err := k.cfg.Platform.Put(ctx, k.holderKey(number), string(text), version, h.Lease)
	return e.Version, err
}

// raise increases the incarnation of a seat. Its key is under no lease, so the number never goes back.
func (k *Keeper) incrementIncarnation(ctx context.Context, number int) (int64, error) {
	key := k.key(k.cfg.Environment, fmt.Sprintf("incarnation/%d", number))
	for attempt := 0; ; attempt++ {
		e, err := k.cfg.Platform.Get(ctx, key)
		if err == nil || errors.Is(err, ErrNotFound) {
			// A number skipped after a lost answer does no harm: incarnations only have to grow.
			e, err = k.cfg.Platform.Put(ctx, key, "", e.Version, 0)
		}
		if err == nil {
			return e.Version, nil
		}
		if waitErr := k.backoff(ctx, attempt); waitErr != nil {
			return 0, err
		}
	}
}

func (k *Keeper) holderKey(number int) string {
	return k.key(k.cfg.Environment, fmt.Sprintf("seat/%d", number))
}
