package provisioner

import (
	"context"
	"errors"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/keeper"
)

const (
	// marginPercent is the part of a seat's store lease, in 100, by which a process gives up its seat early:
	// the clocks of store and process may each be off by 1 in 100.
	clockMarginPercent = 2
	// firstRenewPauseMillis and longestRenewPauseMillis bound the waits between tries to renew the store lease.
	firstRenewRetryMillis = tiller.Second
	maxRenewRetryMillis   = tiller.Minute
)

// heldUntil returns the time from which a process must no longer act under a seat.
func heldUntil(s keeper.Seat) tiller.Millis {
	return s.Until - keeper.SeatLeaseMillis*clockMarginPercent/100
}

// keep renews the store lease of the seat until ctx ends or the seat is lost.
func (s *session) keepSeat(ctx context.Context) {
	wait := s.renewInterval()
	failures := 0
	for s.waitToRenew(ctx, wait) {
		err := s.renew(ctx)
		switch {
		case err == nil:
			wait, failures = s.renewInterval(), 0
		case errors.Is(err, keeper.ErrLeaseEnded):
			s.loseSeat("its store lease has ended")
		default:
			s.p.cfg.Log.Info("seat not renewed", "Seat", s.seat.Number, "Reason", err.Error())
			wait = min(firstRenewRetryMillis<<min(failures, 6), maxRenewRetryMillis)
			failures++
		}
	}
}

// renewPause returns the wait before the next renewal. A tenth of it is random,
// so that daemons that started together do not renew together.
func (s *session) renewInterval() tiller.Millis {
	return s.p.cfg.randomBetween(keeper.SeatRenewMillis*9/10, keeper.SeatRenewMillis)
}

// waitToRenew waits and says whether the seat is still held.
func (s *session) waitToRenew(ctx context.Context, wait tiller.Millis) bool {
	left := s.until - s.p.cfg.Clock.Now()
	timer := time.NewTimer(min(wait, left).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.lost:
	case <-ctx.Done():
		return false
	}
	if s.p.cfg.Clock.Now() >= s.until {
		s.loseSeat("its time is over")
	}
	select {
	case <-s.lost:
		return false
	default:
		return true
	}
}

// renew renews the store lease and makes sure that no other process has taken the seat.
func (s *session) renew(ctx context.Context) error {
	renewed, err := s.p.keeper.Renew(ctx, s.seat)
	if err != nil {
		return err
	}
	held, err := s.p.keeper.Holds(ctx, s.p.claimant, renewed)
	if err != nil {
		return err
	}
	if !held {
		s.loseSeat("another process has claimed it")
		return nil
	}
	s.until = heldUntil(renewed)
	if !s.p.cfg.ExtendSeat(s.until) {
		s.loseSeat("its time is over")
	}
	return nil
}
