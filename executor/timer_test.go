package executor

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// Guards against a timer that is not set again for the time at which it has fired: a daemon whose work became due in the
// millisecond in which its timer had fired with nothing to do set no timer any more, and held requests without end.
func TestWorkDueWhenTimerHasFiredIsDone(t *testing.T) {
	const now = 1000
	clock := tiller.FixedClock(now)
	account := accountant.New(1<<20, func(int64) {})
	client := forwarder.New(clock, account, func(http.Header) string { return "" })
	var reports atomic.Int64
	observer := Observer{Effect: func(e gatherer.Effect) {
		if _, ok := e.(gatherer.SendReport); ok {
			reports.Add(1)
		}
	}}
	x := New(clock, client, Codec{}, observer, gatherer.New(gatherer.Settings{VM: "vm-1", Region: "r"}))
	isIdle := func() bool {
		idle := false
		x.Read(func(s *gatherer.State) {
			_, due := s.NextTimer()
			idle = !due
		})
		return idle
	}
	// The first read of the store is work for this millisecond. It leaves nothing to do, because no other daemon is known.
	x.Step(gatherer.StoreRead{})
	require.Eventually(t, isIdle, time.Second, time.Millisecond)
	// In the same millisecond there is work again.
	x.Step(gatherer.MembersChanged{Members: []cataloger.Member{{VM: "vm-2", Address: "127.0.0.1:1", Region: "r"}}})
	x.Step(gatherer.StoreRead{})
	require.Eventually(t, func() bool { return reports.Load() > 0 }, time.Second, time.Millisecond)
}
