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

// ErrNoSeat says that every seat is held.
var ErrNoSeat = errors.New("no free seat")

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
	// Lease is the store lease under which the seat is held.
	Lease int64
	// Until is the time until which the seat is held unless the lease is renewed.
	Until tiller.Millis
}

// holder is the value of the key that exists as long as a seat is held.
type holder struct {
	Claimant
	Released bool
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

// Claim claims the first free seat of order. It fails with ErrNoSeat when all are held.
func (k *Keeper) Claim(ctx context.Context, c Claimant, order []int) (Seat, error) {
	asked := k.cfg.Clock.Now()
	lease, err := k.cfg.Platform.Grant(ctx, SeatLeaseMillis)
	if err != nil {
		return Seat{}, err
	}
	live, err := k.liveVMs(ctx)
	if err != nil {
		return Seat{}, err
	}
	for _, number := range order {
		seat := Seat{Number: number, Lease: lease, Until: asked + SeatLeaseMillis}
		got, err := k.lock(ctx, c, seat, live)
		if err != nil {
			return Seat{}, err
		}
		if !got {
			continue
		}
		seat.Incarnation, err = k.raise(ctx, number)
		return seat, err
	}
	return Seat{}, ErrNoSeat
}

// Renew renews the lease of a seat.
func (k *Keeper) Renew(ctx context.Context, s Seat) (Seat, error) {
	asked := k.cfg.Clock.Now()
	if err := k.cfg.Platform.Keep(ctx, s.Lease); err != nil {
		return s, err
	}
	s.Until = asked + SeatLeaseMillis
	return s, nil
}

// Release frees a seat at a planned stop, so that another process can claim it at once.
func (k *Keeper) Release(ctx context.Context, c Claimant, s Seat) error {
	e, err := k.cfg.Platform.Get(ctx, k.holderKey(s.Number))
	if err != nil {
		return err
	}
	var h holder
	if err := json.Unmarshal([]byte(e.Value), &h); err != nil {
		return errors.Wrap(err, "decode holder")
	}
	if h.Nonce != c.Nonce {
		return nil
	}
	return k.putHolder(ctx, s.Number, holder{Claimant: c, Released: true}, e.Version, s.Lease)
}

// Holder returns the daemon that holds a seat, and whether there is one.
func (k *Keeper) Holder(ctx context.Context, number int) (Claimant, bool, error) {
	e, err := k.cfg.Platform.Get(ctx, k.holderKey(number))
	if errors.Is(err, ErrNotFound) {
		return Claimant{}, false, nil
	}
	if err != nil {
		return Claimant{}, false, err
	}
	var h holder
	if err := json.Unmarshal([]byte(e.Value), &h); err != nil {
		return Claimant{}, false, errors.Wrap(err, "decode holder")
	}
	return h.Claimant, !h.Released, nil
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

// lock takes the key that exists as long as a seat is held, and says whether this process holds it now.
func (k *Keeper) lock(ctx context.Context, c Claimant, s Seat, live map[string]bool) (bool, error) {
	for try := 0; ; try++ {
		free, mine, version, err := k.inspect(ctx, c, s.Number, live)
		if err != nil {
			return false, err
		}
		if mine {
			return true, nil
		}
		if !free {
			return false, nil
		}
		err = k.putHolder(ctx, s.Number, holder{Claimant: c}, version, s.Lease)
		if err == nil {
			return true, nil
		}
		// After a conflict or a lost answer the key is read again: it may hold this process's own claim.
		if waitErr := k.backoff(ctx, try); waitErr != nil {
			return false, err
		}
	}
}

func (k *Keeper) inspect(ctx context.Context, c Claimant, number int, live map[string]bool) (free, mine bool, version int64, err error) {
	e, err := k.cfg.Platform.Get(ctx, k.holderKey(number))
	if errors.Is(err, ErrNotFound) {
		return true, false, 0, nil
	}
	if err != nil {
		return false, false, 0, err
	}
	var h holder
	if err := json.Unmarshal([]byte(e.Value), &h); err != nil {
		return false, false, 0, errors.Wrap(err, "decode holder")
	}
	// A claim by this VM is by an earlier process of it, which has ended.
	free = h.Released || h.VM == c.VM || !live[h.VM]
	return free, h.Nonce == c.Nonce && !h.Released, e.Version, nil
}

func (k *Keeper) putHolder(ctx context.Context, number int, h holder, version, lease int64) error {
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = k.cfg.Platform.Put(ctx, k.holderKey(number), string(text), version, lease)
	return err
}

// raise increases the incarnation of a seat. Its key is under no lease, so the number never goes back.
func (k *Keeper) raise(ctx context.Context, number int) (int64, error) {
	key := k.key(k.cfg.Environment, fmt.Sprintf("incarnation/%d", number))
	for try := 0; ; try++ {
		e, err := k.cfg.Platform.Get(ctx, key)
		if err == nil || errors.Is(err, ErrNotFound) {
			// A number skipped after a lost answer does no harm: incarnations only have to grow.
			e, err = k.cfg.Platform.Put(ctx, key, "", e.Version, 0)
		}
		if err == nil {
			return e.Version, nil
		}
		if waitErr := k.backoff(ctx, try); waitErr != nil {
			return 0, err
		}
	}
}

func (k *Keeper) holderKey(number int) string {
	return k.key(k.cfg.Environment, fmt.Sprintf("seat/%d", number))
}
