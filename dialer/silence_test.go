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

// silenceBound is the time within which a silent connection must be found, eight times the floor.
const silenceBound = 2 * time.Second

// hang is a search that never answers.
func hang(ctx context.Context, _ *upstream.SearchRequest) (upstream.SearchRes, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// sendInBackground sends an attempt and returns the channel of its error.
func sendInBackground(t *testing.T, o *observed, a reducer.SendAttempt) chan error {
	t.Helper()
	failed := make(chan error, 1)
	go func() {
		_, err := o.Send(t.Context(), a)
		failed <- err
	}()
	return failed
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		require.FailNow(t, "nothing arrived")
		panic("unreachable")
	}
}

// Guards against work that hangs until its deadline on a connection that carries nothing any more.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, isHTTP1Only := range []bool{false, true} {
		f := serve(t, &fake{search: echo}, isHTTP1Only)
		p := newProxy(t, f.address)
		o := dial(t, p.address, 2)
		_, err := o.Send(t.Context(), o.attempt(1, tiller.Minute))
		require.NoError(t, err)
		p.freeze()
		start := time.Now()
		var failure *tiller.Failure
		require.ErrorAs(t, receive(t, sendInBackground(t, o, o.attempt(2, tiller.Minute))), &failure)
		require.Less(t, time.Since(start), silenceBound)
		require.Equal(t, tiller.MayHaveRun, failure.Verdict)
		require.Equal(t, tiller.ReasonSilent, failure.Reason)
		_, err = o.Send(t.Context(), o.attempt(3, tiller.Minute))
		require.NoError(t, err)
		require.Equal(t, 1, o.Connections("u"))
		require.Empty(t, o.restarts, "a silent connection is no sign of a restart")
	}
}

// Guards against a slow request that is taken for a silent connection: at most its own time may pass.
func TestSlowRequestIsNotSilence(t *testing.T) {
	f := serve(t, &fake{search: slowly(900 * time.Millisecond)}, false)
	o := dial(t, f.address, 2)
	_, err := o.Send(t.Context(), o.attempt(1, tiller.Minute))
	require.NoError(t, err)
	require.EqualValues(t, 1, f.greatest.Load())
}

// Guards against a slow request that is taken for a silent connection because the daemon itself was
// paused for longer than a connection may be silent.
func TestPauseIsNotSilence(t *testing.T) {
	begun := make(chan struct{})
	f := serve(t, &fake{search: func(ctx context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
		close(begun)
		return slowly(400*time.Millisecond)(ctx, r)
	}}, false)
	o := dial(t, f.address, 2)
	ended := sendInBackground(t, o, o.attempt(1, tiller.Minute))
	<-begun
	o.shift.Add(int64(10 * silentFloorMillis))
	require.NoError(t, receive(t, ended))
}

// Guards against a dead upstream that keeps attempts until their deadline.
func TestUpstreamDown(t *testing.T) {
	f := serve(t, &fake{search: hang}, false)
	p := newProxy(t, f.address)
	o := dial(t, p.address, 2)
	failed := sendInBackground(t, o, o.attempt(1, tiller.Minute))
	require.Eventually(t, func() bool { return f.searches.Load() == 1 }, patience, time.Millisecond)
	require.NoError(t, p.listener.Close())
	p.freeze()
	var failure *tiller.Failure
	require.ErrorAs(t, receive(t, failed), &failure)
	require.Equal(t, tiller.MayHaveRun, failure.Verdict)
	require.Equal(t, tiller.ReasonConnectionLost, failure.Reason)
	require.False(t, receive(t, o.restarts), "the refused connection")
	require.True(t, receive(t, o.restarts), "the lost attempt")
}

// Guards against a request that may run once only and is lost on a connection of unknown state.
func TestFreshAttemptAvoidsQuietConnection(t *testing.T) {
	f := serve(t, &fake{search: echo}, false)
	o := dial(t, f.address, 2)
	for id, quiet := range []tiller.Millis{0, 0, freshMillis + 500} {
		o.shift.Add(int64(quiet))
		a := o.attempt(tiller.AttemptID(id), tiller.Minute)
		a.Fresh = true
		_, err := o.Send(t.Context(), a)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, f.greatest.Load())
}

// Guards against load polls that are a load of their own.
func TestLoadIsPolledOncePerSecond(t *testing.T) {
	f := serve(t, &fake{search: echo}, false)
	o := dial(t, f.address, 2)
	_, err := o.Send(t.Context(), o.attempt(1, tiller.Minute))
	require.NoError(t, err)
	start := time.Now()
	require.Equal(t, 3, receive(t, o.loads))
	require.Equal(t, 3, receive(t, o.loads))
	require.GreaterOrEqual(t, time.Since(start), 2*loadMillis.Duration()-50*time.Millisecond)
	require.EqualValues(t, 2, f.loads.Load())
}
