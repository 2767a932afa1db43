package provisioner

import (
	"context"
	"errors"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/keeper"
)

const (
	// clockMarginPercent is the percentage of the store lease by which a process gives up its seat before
	// the lease ends. The clocks of the store and of the process may each drift by 1 %.
	clockMarginPercent = 2
	// firstRenewRetryMillis and maxRenewRetryMillis are the first and the longest wait after a failed renewal of
	// the store lease. The wait doubles with each failure.
	firstRenewRetryMillis = tiller.Second
	maxRenewRetryMillis   = tiller.Minute
)

// heldUntil returns the time from which a process must not act under a seat: the end of the store lease
// less the clock margin.
func heldUntil(s keeper.Seat) tiller.Millis {
	return s.Until - keeper.SeatLeaseMillis*clockMarginPercent/100
}

// keepSeat renews the store lease of the seat until ctx ends or the seat is lost.
func (s *session) keepSeat(ctx context.Context) {
	wait := s.renewInterval()
	failures := 0
	for s.waitToRenew(ctx, wait) {
		err := s.renew(ctx)
		switch {
		case err == nil:
			wait, failures = s.renewInterval(), 0
		case errors.Is(err, keeper.ErrLeaseEnded):
			s.loseSeat("store lease has expired")
		default:
			s.p.cfg.Log.Info("seat lease renewal failed", "Seat", s.seat.Number, "Reason", err.Error())
			wait = min(firstRenewRetryMillis<<min(failures, 6), maxRenewRetryMillis)
			failures++
		}
	}
}

// renewInterval returns the wait before the next renewal. A tenth of it is random,
// so that daemons that started at the same time do not renew at the same time.
func (s *session) renewInterval() tiller.Millis {
	return s.p.cfg.randomBetween(keeper.SeatRenewMillis*9/10, keeper.SeatRenewMillis)
}

// waitToRenew waits until the next renewal is due. It returns false when ctx has ended or the seat is lost.
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
		s.loseSeat("store lease was not renewed in time")
	}
	select {
	case <-s.lost:
		return false
	default:
		return true
	}
}

// renew renews the store lease and checks that no other process has claimed the seat.
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
		s.loseSeat("another process has claimed the seat")
		return nil
	}
	s.until = heldUntil(renewed)
	if !s.p.cfg.ExtendSeat(s.until) {
		s.loseSeat("store lease was not renewed in time")
	}
	return nil
}
