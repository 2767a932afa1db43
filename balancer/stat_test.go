package balancer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
)

const (
	prior   = 15
	failure = 400
)

// cost answers n requests that took a time each, and returns the cost after that.
func newAnsweredStat(n int, took tiller.Millis) (*balancer.Stat, tiller.Millis) {
	s := balancer.New()
	now := tiller.Millis(1000)
	for i := range n {
		s.Sent(now, uint64(i))
		now += took
		s.Answered(now, uint64(i), 0)
	}
	return s, now
}

func TestCost(t *testing.T) {
	fast, now := newAnsweredStat(10, 10)
	base := fast.Cost(now, prior, 2, failure)
	for _, tt := range []struct {
		name  string
		after func(s *balancer.Stat, now tiller.Millis) tiller.Millis
		above float64
	}{
		{"an outstanding request costs a service time", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			return now
		}, 10},
		{"a stalled request costs its age", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			return now + 200
		}, 180},
		{"a rejected request costs", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Shed(now, 100)
			return now
		}, 10},
		{"a failure costs more", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Failed(now, 100)
			return now
		}, 60},
		{"a request given up after longer than a pause is a failure", func(s *balancer.Stat, now tiller.Millis) tiller.Millis {
			s.Sent(now, 100)
			s.Abandoned(now+400, 100)
			return now + 400
		}, 60},
	} {
		s, now := newAnsweredStat(10, 10)
		now = tt.after(s, now)
		require.GreaterOrEqual(t, s.Cost(now, prior, 2, failure), base+tt.above, tt.name)
	}
}

// What was measured long ago must not keep an upstream from being asked for ever.
func TestOldMeasurementsAreForgotten(t *testing.T) {
	slow, now := newAnsweredStat(10, 200)
	require.GreaterOrEqual(t, slow.Mean(now, prior), 150.0)
	require.InDelta(t, prior, slow.Mean(now+30000, prior), 1)
}

// One pause must not make an upstream look slow for long.
func TestOnePauseIsClipped(t *testing.T) {
	s, now := newAnsweredStat(10, 10)
	s.Sent(now, 100)
	s.Answered(now+250, 100, 0)
	require.LessOrEqual(t, s.Mean(now+250, prior), 25.0)
}
