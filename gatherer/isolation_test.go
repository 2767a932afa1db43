package gatherer

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// A third of the daemons was cut off from the others. A daemon that reaches none must refuse at once what it cannot do
// itself, as not run, and take queries again once a probe reaches another daemon.
func TestIsolatedDaemonRefusesAtOnce(t *testing.T) {
	s := takerOf(largeFleet())
	s.Step(900, StoreRead{})
	require.True(t, s.IsReady(900))
	sent, _ := arrive(s, 1000, 1)
	require.NotEmpty(t, sent)
	var probes []Probe
	for _, e := range fire(s, 1400) {
		if p, ok := e.(Probe); ok {
			probes = append(probes, p)
		}
	}
	require.GreaterOrEqual(t, len(probes), isolatedPeers)
	_, refusal := arrive(s, 1400, 2)
	require.NotNil(t, refusal)
	require.Equal(t, tiller.NotRun, refusal.Verdict)
	require.Equal(t, tiller.ReasonCutOff, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.False(t, s.IsReady(1400))
	s.Step(1500, PeerProbed{Member: probes[0].Member, Reached: true})
	require.True(t, s.IsReady(1500))
	sent, refusal = arrive(s, 1500, 3)
	require.Nil(t, refusal)
	require.NotEmpty(t, sent)
}
