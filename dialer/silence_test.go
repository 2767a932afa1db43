package dialer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// silenceDetectionLimit is the time within which a silent connection must be detected, eight times
// minSilentMillis.
const silenceDetectionLimit = 2 * time.Second

// blockUntilCancelled is a search handler that returns only when the request is cancelled.
func blockUntilCancelled(ctx context.Context, _ *upstream.SearchRequest) (upstream.SearchRes, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// sendInBackground sends an attempt on another goroutine and returns a channel that receives its error.
func sendInBackground(t *testing.T, td *testDialer, a reducer.SendAttempt) chan error {
	t.Helper()
	failed := make(chan error, 1)
	go func() {
		_, err := td.Send(t.Context(), a)
		failed <- err
	}()
	return failed
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		require.FailNow(t, "no value received in time")
		panic("unreachable")
	}
}

// Guards against an attempt that hangs until its deadline on a connection that no longer carries bytes.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, isHTTP1Only := range []bool{false, true} {
		f := serveFake(t, &fakeUpstream{search: echo}, isHTTP1Only)
		p := newProxy(t, f.address)
		td := newTestDialer(t, p.address, 2)
		_, err := td.Send(t.Context(), td.attempt(1, tiller.Minute))
		require.NoError(t, err)
		p.freeze()
		start := time.Now()
		var failure *tiller.Failure
		require.ErrorAs(t, receive(t, sendInBackground(t, td, td.attempt(2, tiller.Minute))), &failure)
		require.Less(t, time.Since(start), silenceDetectionLimit)
		require.Equal(t, tiller.MayHaveRun, failure.Verdict)
		require.Equal(t, tiller.ReasonSilent, failure.Reason)
		_, err = td.Send(t.Context(), td.attempt(3, tiller.Minute))
		require.NoError(t, err)
		require.Equal(t, 1, td.Connections("u"))
		require.Empty(t, td.restarts, "a silent connection must not be reported as a restart")
	}
}

// Guards against closing a connection as silent, or opening another one, because a request is slow.
func TestSlowRequestIsNotSilence(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: delayedEcho(900 * time.Millisecond)}, false)
	td := newTestDialer(t, f.address, 2)
	_, err := td.Send(t.Context(), td.attempt(1, tiller.Minute))
	require.NoError(t, err)
	require.EqualValues(t, 1, f.maxOpen.Load())
}

// Guards against closing a connection as silent because the daemon itself was paused for longer than a
// connection may be silent. The test advances the clock during a slow request.
func TestProcessPauseIsNotSilence(t *testing.T) {
	begun := make(chan struct{})
	f := serveFake(t, &fakeUpstream{search: func(ctx context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
		close(begun)
		return delayedEcho(400*time.Millisecond)(ctx, r)
	}}, false)
	td := newTestDialer(t, f.address, 2)
	ended := sendInBackground(t, td, td.attempt(1, tiller.Minute))
	<-begun
	td.clockOffset.Add(int64(10 * minSilentMillis))
	require.NoError(t, receive(t, ended))
}

// Guards against attempts to a dead upstream that hang until their deadline.
func TestUnresponsiveUpstreamFailsAttempts(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: blockUntilCancelled}, false)
	p := newProxy(t, f.address)
	td := newTestDialer(t, p.address, 2)
	failed := sendInBackground(t, td, td.attempt(1, tiller.Minute))
	require.Eventually(t, func() bool { return f.searches.Load() == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, p.listener.Close())
	p.freeze()
	var failure *tiller.Failure
	require.ErrorAs(t, receive(t, failed), &failure)
	require.Equal(t, tiller.MayHaveRun, failure.Verdict)
	require.Equal(t, tiller.ReasonConnectionLost, failure.Reason)
	require.False(t, receive(t, td.restarts), "the first report must be of the refused connection")
	require.True(t, receive(t, td.restarts), "the second report must be of the lost attempt")
}

// Guards against losing a request that may run only once because it was sent on a connection that has
// not received bytes recently.
func TestFreshAttemptAvoidsIdleConnection(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: echo}, false)
	td := newTestDialer(t, f.address, 2)
	for id, idle := range []tiller.Millis{0, 0, freshAgeMillis + 500} {
		td.clockOffset.Add(int64(idle))
		a := td.attempt(tiller.AttemptID(id), tiller.Minute)
		a.Fresh = true
		_, err := td.Send(t.Context(), a)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, f.maxOpen.Load())
}

// Guards against load polls that are so frequent that they add load themselves.
func TestLoadIsPolledOncePerSecond(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: echo}, false)
	td := newTestDialer(t, f.address, 2)
	_, err := td.Send(t.Context(), td.attempt(1, tiller.Minute))
	require.NoError(t, err)
	start := time.Now()
	require.Equal(t, 3, receive(t, td.loads))
	require.Equal(t, 3, receive(t, td.loads))
	require.GreaterOrEqual(t, time.Since(start), 2*loadPollMillis.Duration()-50*time.Millisecond)
	require.EqualValues(t, 2, f.loads.Load())
}
