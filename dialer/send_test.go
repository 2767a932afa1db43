package dialer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// Guards against lost requests after the fallback to HTTP/1.1, and against more connections than the
// limit.
func TestProtocolsAndConnectionLimit(t *testing.T) {
	for _, test := range []struct {
		name        string
		isHTTP1Only bool
		limit       int
		maxOpen     int64
	}{
		{"one HTTP/2 connection is enough", false, 5, 1},
		{"HTTP/1.1 uses as many as allowed", true, 3, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := serveFake(t, &fakeUpstream{search: delayedEcho(20 * time.Millisecond)}, test.isHTTP1Only)
			td := newTestDialer(t, f.address, test.limit)
			_, err := td.Send(t.Context(), td.attempt(1, tiller.Minute))
			require.NoError(t, err)
			f.maxOpen.Store(f.open.Load())
			const requests = 20
			var tasks sync.WaitGroup
			var answered atomic.Int64
			for i := range requests {
				tasks.Go(func() {
					id := tiller.AttemptID(i + 10)
					r, err := td.Send(t.Context(), td.attempt(id, tiller.Minute))
					if err == nil && r.Attempt == id && r.Snapshot == "s1" {
						answered.Add(1)
					}
				})
			}
			tasks.Wait()
			require.EqualValues(t, requests, answered.Load())
			require.EqualValues(t, requests+1, f.searches.Load())
			require.Equal(t, test.maxOpen, f.maxOpen.Load())
		})
	}
}

// Guards against a remaining time on the wire that does not match the caller's deadline, and against a
// changed body.
func TestRequestCarriesRemainingTime(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: echo}, false)
	td := newTestDialer(t, f.address, 1)
	r, err := td.Send(t.Context(), td.attempt(1, 700))
	require.NoError(t, err)
	require.InDelta(t, 700, r.Shards[0].Items[0].Score, 200)
	require.JSONEq(t, `{"x":1}`, string(r.Shards[0].Items[0].Body))
}

// Guards against a wrong verdict, reason or RetryAfter for a failed request, such as NotRun for a
// request that may have run.
func TestFailureVerdicts(t *testing.T) {
	refused := func(reason upstream.SearchErrorReason, ran bool) upstream.SearchRes {
		return &upstream.SearchErrorStatusCode{StatusCode: 503, Response: upstream.SearchError{
			Reason: reason, Ran: ran, RetryAfterMillis: upstream.NewOptInt64(40),
		}}
	}
	large := &upstream.SearchResponse{Shards: []upstream.ShardItems{{Items: []upstream.Item{
		{Key: strings.Repeat("x", maxResponseBytes+1), Body: jx.Raw("0")},
	}}}}
	for _, test := range []struct {
		name    string
		res     upstream.SearchRes
		err     error
		verdict tiller.Verdict
		reason  tiller.Reason
		after   tiller.Millis
	}{
		{"shed", refused(upstream.SearchErrorReasonShed, false), nil, tiller.NotRun, tiller.ReasonShed, 40},
		{"failed while running", refused(upstream.SearchErrorReasonUpstreamError, true), nil, tiller.MayHaveRun, tiller.ReasonUpstreamError, 40},
		{"answer that cannot be decoded", nil, io.ErrUnexpectedEOF, tiller.MayHaveRun, tiller.ReasonUpstreamError, 0},
		{"answer too large", large, nil, tiller.MayHaveRun, tiller.ReasonUpstreamError, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := serveFake(t, &fakeUpstream{search: func(context.Context, *upstream.SearchRequest) (upstream.SearchRes, error) {
				return test.res, test.err
			}}, false)
			// A slow machine may take longer than 250 ms to encode the large response, so the connection
			// must not be suspect by then.
			td := newTestDialerWithSilence(t, f.address, 1, tiller.Minute)
			got := td.sendFailure(t, t.Context(), td.attempt(1, tiller.Minute))
			require.Equal(t, test.verdict, got.Verdict)
			require.Equal(t, test.reason, got.Reason)
			require.Equal(t, test.after, got.RetryAfter)
			require.EqualValues(t, 1, f.searches.Load())
		})
	}
}

// Guards against an upstream that keeps running a request after its deadline, and against the verdict
// NotRun for a request that ran.
func TestDeadlineResetsTheStream(t *testing.T) {
	cancelled := make(chan struct{})
	f := serveFake(t, &fakeUpstream{search: func(ctx context.Context, _ *upstream.SearchRequest) (upstream.SearchRes, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	}}, false)
	td := newTestDialer(t, f.address, 1)
	got := td.sendFailure(t, t.Context(), td.attempt(1, 60))
	require.Equal(t, tiller.MayHaveRun, got.Verdict)
	require.Equal(t, tiller.ReasonTimeout, got.Reason)
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		require.FailNow(t, "the upstream's request context was not cancelled")
	}
	f.search = echo
	_, err := td.Send(t.Context(), td.attempt(2, tiller.Minute))
	require.NoError(t, err)
	require.EqualValues(t, 1, f.maxOpen.Load(), "a stream reset must not close the connection")
}

// Guards against sending a request whose lease expired while it waited for a connection.
func TestExpiredLeaseWritesNothing(t *testing.T) {
	f := serveFake(t, &fakeUpstream{search: echo}, false)
	td := newTestDialer(t, f.address, 1)
	a := td.attempt(1, tiller.Minute)
	a.ValidUntil = td.cfg.Clock.Now() - 1
	got := td.sendFailure(t, t.Context(), a)
	require.Equal(t, tiller.NotRun, got.Verdict)
	require.Equal(t, tiller.ReasonLeaseExpired, got.Reason)
	require.Zero(t, f.searches.Load())
}

// Guards against a restart that is not reported, so that the limit of a cold upstream is not reset. A
// greater incarnation and a refused connection both count as a restart.
func TestRestartIsReported(t *testing.T) {
	var incarnation atomic.Int64
	incarnation.Store(1)
	f := serveFake(t, &fakeUpstream{search: func(ctx context.Context, r *upstream.SearchRequest) (upstream.SearchRes, error) {
		return &upstream.SearchResponse{ID: r.ID, Attempt: r.Attempt, Incarnation: incarnation.Add(1)}, nil
	}}, false)
	td := newTestDialer(t, f.address, 1)
	for id := range 2 {
		_, err := td.Send(t.Context(), td.attempt(tiller.AttemptID(id), tiller.Minute))
		require.NoError(t, err)
	}
	require.False(t, <-td.restarts)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	unreachable := newTestDialer(t, l.Addr().String(), 1)
	got := unreachable.sendFailure(t, t.Context(), unreachable.attempt(1, tiller.Minute))
	require.Equal(t, tiller.NotRun, got.Verdict)
	require.Equal(t, tiller.ReasonConnectFailed, got.Reason)
	require.False(t, <-unreachable.restarts)
}

// Guards against a second run of a request that net/http considers safe to resend. The upstream accepts a
// request on a reused connection and ends it in one of several ways, among them those after which the pool
// of an http.Transport would resend.
func TestRequestIsWrittenOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(*http2.Framer, uint32)
		verdict tiller.Verdict
		reason  tiller.Reason
		isLost  bool
	}{
		{"connection closed", func(*http2.Framer, uint32) {}, tiller.MayHaveRun, tiller.ReasonConnectionLost, true},
		{"going away", func(f *http2.Framer, _ uint32) { _ = f.WriteGoAway(1, http2.ErrCodeNo, nil) }, tiller.MayHaveRun, tiller.ReasonConnectionLost, false},
		{"stream refused", func(f *http2.Framer, id uint32) { _ = f.WriteRSTStream(id, http2.ErrCodeRefusedStream) }, tiller.NotRun, tiller.ReasonShed, false},
		{"stream reset", func(f *http2.Framer, id uint32) { _ = f.WriteRSTStream(id, http2.ErrCodeInternal) }, tiller.MayHaveRun, tiller.ReasonUpstreamError, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int64
			address := rawServer(t, func(c net.Conn) {
				_, _ = io.ReadFull(c, make([]byte, len(http2.ClientPreface)))
				f := http2.NewFramer(c, c)
				_ = f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					if data, ok := frame.(*http2.DataFrame); ok && data.StreamEnded() {
						if requests.Add(1) == 1 {
							_ = f.WriteRSTStream(data.StreamID, http2.ErrCodeInternal)
							continue
						}
						test.end(f, data.StreamID)
						if test.isLost {
							c.Close()
							return
						}
					}
				}
			})
			td := newTestDialer(t, address, 3)
			td.sendFailure(t, t.Context(), td.attempt(1, tiller.Minute))
			got := td.sendFailure(t, t.Context(), td.attempt(2, tiller.Minute))
			require.Equal(t, test.verdict, got.Verdict)
			require.Equal(t, test.reason, got.Reason)
			require.EqualValues(t, 2, requests.Load())
			if test.isLost {
				require.Len(t, td.restarts, 1, "the loss must be reported before the attempt fails")
				require.True(t, <-td.restarts)
			}
		})
	}
}
