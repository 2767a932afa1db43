package keeper

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// SeatLeaseMillis is the duration of the store lease on a seat, in milliseconds. It is longer than
	// the store outages during which no daemon may lose its seat.
	SeatLeaseMillis = 2 * tiller.Hour
	// SeatRenewMillis is the interval between renewals of that lease, in milliseconds.
	SeatRenewMillis = 30 * tiller.Minute
)

// Errors of a claim.
var (
	// ErrNoSeat means that every seat is held.
	ErrNoSeat = errors.New("no free seat")
	// ErrNotListed means that the platform's list of VMs does not contain the claimant's VM yet. Other processes
	// would treat a seat claimed now as free, because they take a VM that is not listed to be gone.
	ErrNotListed = errors.New("the platform's list of VMs does not contain this VM yet")
)

// Claimant describes the daemon process that claims a seat.
type Claimant struct {
	VM      string
	Address string
	Domain  string
	// Nonce differs between processes, so that a process recognizes its own claim after a lost reply.
	Nonce string
}

// Seat is a claimed seat.
type Seat struct {
	Number int
	// Incarnation grows with each claim of the seat.
	Incarnation int64
	// Version is the version of the seat's key that this process wrote.
	Version int64
	// Lease is the store lease under which the seat is held.
	Lease int64
	// Until is the time at which the lease ends unless it is renewed.
	Until tiller.Millis
}

// holder is the value of a seat's key, which exists as long as its store lease.
type holder struct {
	Claimant
	// Lease is the store lease of the key.
	Lease int64
	// Released is true after a planned stop; the seat is then free.
	Released bool
}

// isHeldBy reports whether h is an unreleased claim of the process c under the given lease.
func (h holder) isHeldBy(c Claimant, lease int64) bool {
	return h.Nonce == c.Nonce && h.Lease == lease && !h.Released
}

// SeatOrder returns the seats in the order in which a daemon of a failure domain tries to claim them:
// first the seats of its own domain, then the others. Both groups are in rising order from the seat start,
// continuing at 0 after the last seat. Seat n belongs to the domain n modulo domains.
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
// and with ErrNotListed when the list of VMs does not contain the claimant's VM.
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

// ensureLease returns s with a store lease and requests one if s has none. Claim calls it only after it has found
// a free seat, so that a process that waits for a seat leaves no unused leases in the store.
func (k *Keeper) ensureLease(ctx context.Context, s Seat) (Seat, error) {
	if s.Lease != 0 {
		return s, nil
	}
	s.Until = k.cfg.Clock.Now() + SeatLeaseMillis
	lease, err := k.cfg.Platform.Grant(ctx, SeatLeaseMillis)
	s.Lease = lease
	return s, err
}

// Holds reports whether the process still holds its seat. Another process may have claimed the seat because
// it took the holder to be gone. A stale read, from before the claim, counts as held. Holds fails with ErrNotFound
// when the key does not exist; just after a renewal of the lease this, too, can only be a stale read.
func (k *Keeper) Holds(ctx context.Context, c Claimant, s Seat) (bool, error) {
	h, version, err := k.readHolder(ctx, s.Number)
	if err != nil {
		return false, err
	}
	return version < s.Version || h.isHeldBy(c, s.Lease), nil
}

// Holder returns the process that holds a seat. Its result held is false when none does.
func (k *Keeper) Holder(ctx context.Context, number int) (c Claimant, held bool, err error) {
	h, _, err := k.readHolder(ctx, number)
	if errors.Is(err, ErrNotFound) {
		return Claimant{}, false, nil
	}
	return h.Claimant, err == nil && !h.Released, err
}

// Renew renews the lease of a seat and returns the seat with its new end time, counted from before the call.
func (k *Keeper) Renew(ctx context.Context, s Seat) (Seat, error) {
	requestedAt := k.cfg.Clock.Now()
	if err := k.cfg.Platform.KeepAlive(ctx, s.Lease); err != nil {
		return s, err
	}
	s.Until = requestedAt + SeatLeaseMillis
	return s, nil
}

// Release marks a seat as released at a planned stop, so that another process can claim it at once.
// It does nothing when the process no longer holds the seat.
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

// liveVMs returns the names of the VMs on the platform's list. The list is updated with a delay:
// a VM that was removed from it is gone, and a VM that it contains may be gone too.
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

// acquire writes the key of a seat if the seat is free. It returns whether this process holds the seat now,
// and the version of the key.
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
		// After a conflict or a lost reply the key is read again, because it may contain this process's own claim.
		if waitErr := k.backoff(ctx, attempt); waitErr != nil {
			return 0, false, err
		}
	}
}

// checkSeat returns whether a seat may be claimed (free), whether this process has claimed it under the lease of s
// (own), and the version of the seat's key, which is 0 when there is none. A seat that this process claimed under
// an earlier lease counts as free, because its key would be deleted at the end of that lease.
func (k *Keeper) checkSeat(ctx context.Context, c Claimant, s Seat, live map[string]bool) (free, own bool, version int64, err error) {
	h, version, err := k.readHolder(ctx, s.Number)
	if errors.Is(err, ErrNotFound) {
		return true, false, 0, nil
	}
	if err != nil {
		return false, false, 0, err
	}
	// Another process on the same VM can only be an earlier one, which has ended.
	free = h.Released || h.VM == c.VM || !live[h.VM]
	return free, h.isHeldBy(c, s.Lease), version, nil
}

// readHolder reads the key of a seat and returns its value and version.
func (k *Keeper) readHolder(ctx context.Context, number int) (holder, int64, error) {
	e, err := k.cfg.Platform.Get(ctx, k.holderKey(number))
	if err != nil {
		return holder{}, 0, err
	}
	var h holder
	if err := json.Unmarshal([]byte(e.Value), &h); err != nil {
		return holder{}, 0, errors.Wrapf(err, "decode holder of seat %d", number)
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

// incrementIncarnation increases the incarnation of a seat and returns it. The incarnation is the version of
// a key without a lease, so it never decreases.
func (k *Keeper) incrementIncarnation(ctx context.Context, number int) (int64, error) {
	key := k.key(k.cfg.Environment, fmt.Sprintf("incarnation/%d", number))
	for attempt := 0; ; attempt++ {
		e, err := k.cfg.Platform.Get(ctx, key)
		if err == nil || errors.Is(err, ErrNotFound) {
			// A retry after a lost reply may skip a number, which is harmless: incarnations only have to grow.
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
