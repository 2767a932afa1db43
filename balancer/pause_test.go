package balancer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/balancer"
)

const (
	testPeriod = 6000
	testLength = 250
)

// simulate records the responses of upstreams that pause once every testPeriod, up to the time until. The
// first slow upstreams take 90 to 129 ms for each request, plus pauses.
func simulate(p *balancer.PausePredictor, r *rand.Rand, histories []balancer.PauseHistory, phases []tiller.Millis, slow int, until tiller.Millis) {
	for now := tiller.Millis(1); now < until; now += 5 {
		i := r.IntN(len(histories))
		took := 8 + tiller.Millis(r.IntN(8))
		if i < slow {
			took = 90 + tiller.Millis(r.IntN(40))
		}
		if phase := (now + phases[i]) % testPeriod; phase < testLength {
			took += testLength - phase
		}
		p.Record(now+took, &histories[i], float64(took), 12)
	}
}

func newPhases(r *rand.Rand, n int) []tiller.Millis {
	phases := make([]tiller.Millis, n)
	for i := range phases {
		phases[i] = tiller.Millis(r.IntN(testPeriod))
	}
	return phases
}

// Periodic pauses must be predicted: without a prediction, nearly every query over 90 shards meets a pause.
func TestPausesArePredicted(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	phases, histories, p := newPhases(r, 20), make([]balancer.PauseHistory, 20), balancer.NewPausePredictor()
	const until = 20000
	simulate(p, r, histories, phases, 0, until)
	require.InDelta(t, testPeriod, float64(p.Period()), 30)
	hit, pausing, wrong, serving := 0, 0, 0, 0
	for at := tiller.Millis(until); at < until+testPeriod; at += 10 {
		for i := range histories {
			predicted := p.Remaining(at, &histories[i]) > 0
			if (at+phases[i])%testPeriod < testLength {
				pausing++
				if predicted {
					hit++
				}
			} else {
				serving++
				if predicted {
					wrong++
				}
			}
		}
	}
	require.GreaterOrEqual(t, float64(hit), 0.85*float64(pausing))
	require.LessOrEqual(t, float64(wrong), 0.03*float64(serving))
}

// Slow upstreams delay every response. They must neither be predicted as pausing nor distort the detected
// period.
func TestSlowUpstreamsAreNotPeriodic(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	phases, histories, p := newPhases(r, 20), make([]balancer.PauseHistory, 20), balancer.NewPausePredictor()
	simulate(p, r, histories, phases, 5, 30000)
	require.InDelta(t, testPeriod, float64(p.Period()), 30)
	for i := range 5 {
		predicted := 0
		for at := tiller.Millis(30000); at < 36000; at += 10 {
			if p.Remaining(at, &histories[i]) > 0 {
				predicted++
			}
		}
		require.LessOrEqual(t, predicted, 600/4, "upstream %d", i)
	}
}

// No period must be detected from delays at random times.
func TestRandomDelaysHaveNoPeriod(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	histories, p := make([]balancer.PauseHistory, 20), balancer.NewPausePredictor()
	for now := tiller.Millis(1); now < 40000; now += 20 + tiller.Millis(r.IntN(400)) {
		p.Record(now, &histories[r.IntN(len(histories))], 150, 12)
	}
	require.Zero(t, p.Period())
}
