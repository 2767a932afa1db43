package runner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// waitLimit bounds each wait of a test. A passing test waits for milliseconds.
const waitLimit = 5 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeReducer is a reducer whose Step is defined by the test. It records events and counts.
type fakeReducer struct {
	step   func(reducer.Event) []reducer.Effect
	events chan reducer.Event
	counts chan string
}

func newFakeReducer(step func(reducer.Event) []reducer.Effect) *fakeReducer {
	return &fakeReducer{step: step, events: make(chan reducer.Event, 100), counts: make(chan string, 100)}
}

func (s *fakeReducer) config() Config {
	return Config{
		Clock: tiller.SystemClock(),
		Step: func(e reducer.Event) []reducer.Effect {
			s.events <- e
			return s.step(e)
		},
		Count: func(name string, label tiller.Reason, _ int64) { s.counts <- name + "." + string(label) },
	}
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitLimit):
		require.FailNow(t, "no value received")
		panic("unreachable")
	}
}

// nextEvent returns the next event, which must be of type T.
func nextEvent[T reducer.Event](t *testing.T, s *fakeReducer) T {
	t.Helper()
	e := receive(t, s.events)
	require.IsType(t, *new(T), e)
	return e.(T)
}

func query(id string) tiller.Query {
	return tiller.Query{ID: tiller.RequestID(id), Caller: "c", Deadline: tiller.SystemClock().Now() + tiller.Minute}
}

func replyTo(e reducer.QueryArrived, result tiller.Result) reducer.Reply {
	return reducer.Reply{Caller: e.Query.Caller, ID: e.Query.ID, To: e.From, Ref: e.Ref, Result: result}
}

func answer(snapshot string) tiller.Result {
	return tiller.Result{Answer: &tiller.Answer{Snapshot: snapshot}}
}

// Guards against sending an attempt whose lease expired while the daemon was paused.
func TestExpiredLeaseIsNotSent(t *testing.T) {
	var arrived reducer.QueryArrived
	s := newFakeReducer(func(e reducer.Event) []reducer.Effect {
		switch e := e.(type) {
		case reducer.QueryArrived:
			arrived = e
			return []reducer.Effect{reducer.SendAttempt{Request: tiller.SearchRequest{Attempt: 7}, ValidUntil: e.Now - 1}}
		case reducer.AttemptFailed:
			return []reducer.Effect{replyTo(arrived, tiller.Result{Refusal: &tiller.Refusal{Verdict: e.Verdict, Reason: e.Reason}})}
		}
		return nil
	})
	cfg := s.config()
	cfg.Send = func(context.Context, reducer.SendAttempt) (tiller.SearchResponse, error) {
		panic("Send called with an expired lease")
	}
	r := New(cfg)
	defer r.Close()
	result := r.Submit(t.Context(), query("q"))
	require.Equal(t, &tiller.Refusal{Verdict: tiller.NotRun, Reason: tiller.ReasonLeaseExpired}, result.Refusal)
	nextEvent[reducer.QueryArrived](t, s)
	require.EqualValues(t, 7, nextEvent[reducer.AttemptFailed](t, s).Attempt)
}

// Guards against attempts that continue after their caller has disconnected, and against use of their late responses.
func TestCallerGoneCancelsAttempts(t *testing.T) {
	s := newFakeReducer(func(e reducer.Event) []reducer.Effect {
		switch e := e.(type) {
		case reducer.QueryArrived:
			return []reducer.Effect{reducer.SendAttempt{Request: tiller.SearchRequest{Attempt: 1}, ValidUntil: e.Now + tiller.Minute}}
		case reducer.CallerGone:
			return []reducer.Effect{reducer.CancelAttempt{Attempt: 1, Reason: tiller.ReasonCancelled}}
		}
		return nil
	})
	sending := make(chan struct{})
	cfg := s.config()
	cfg.Send = func(ctx context.Context, _ reducer.SendAttempt) (tiller.SearchResponse, error) {
		close(sending)
		<-ctx.Done()
		return tiller.SearchResponse{}, nil
	}
	r := New(cfg)
	defer r.Close()
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan tiller.Result, 1)
	go func() { results <- r.Submit(ctx, query("q")) }()
	receive(t, sending)
	cancel()
	refusal := receive(t, results).Refusal
	require.Equal(t, tiller.MayHaveRun, refusal.Verdict)
	require.Equal(t, tiller.ReasonCancelled, refusal.Reason)
	nextEvent[reducer.QueryArrived](t, s)
	nextEvent[reducer.CallerGone](t, s)
	require.Equal(t, "refusal.Cancelled", receive(t, s.counts))
	require.Equal(t, "late_response.Cancelled", receive(t, s.counts))
	require.Empty(t, s.events)
}

// Guards against a reply that is delivered to the wrong one of two queries with the same ID, or delivered twice.
func TestDuplicateQueriesGetSeparateReplies(t *testing.T) {
	var first reducer.QueryArrived
	copies := 0
	s := newFakeReducer(func(e reducer.Event) []reducer.Effect {
		switch e := e.(type) {
		case reducer.QueryArrived:
			if copies++; copies == 1 {
				first = e
				return nil
			}
			return []reducer.Effect{replyTo(e, tiller.Result{Refusal: &tiller.Refusal{Reason: tiller.ReasonDuplicateID}})}
		case reducer.TimeAdvanced:
			return []reducer.Effect{replyTo(first, answer("one")), replyTo(first, answer("two"))}
		}
		return nil
	})
	r := New(s.config())
	defer r.Close()
	results := make(chan tiller.Result, 1)
	go func() { results <- r.Submit(t.Context(), query("q")) }()
	nextEvent[reducer.QueryArrived](t, s)
	require.Equal(t, tiller.ReasonDuplicateID, r.Submit(t.Context(), query("q")).Refusal.Reason)
	r.Post(func(s reducer.Stamp) reducer.Event { return reducer.TimeAdvanced{Stamp: s} })
	require.Equal(t, "one", receive(t, results).Answer.Snapshot)
	require.Equal(t, "late_reply.", receive(t, s.counts))
}

// Guards against a full queue of arrivals that blocks callers, or that discards events.
func TestFullQueueRefusesArrivalsOnly(t *testing.T) {
	release := make(chan struct{})
	s := newFakeReducer(func(e reducer.Event) []reducer.Effect {
		if q, ok := e.(reducer.QueryArrived); ok {
			return []reducer.Effect{replyTo(q, answer("s"))}
		}
		<-release
		return nil
	})
	cfg := s.config()
	cfg.ArrivalLimit = 1
	r := New(cfg)
	defer r.Close()
	r.ReportRestart("u1", true)
	nextEvent[reducer.UpstreamRestarted](t, s)
	results := make(chan tiller.Result, 1)
	go func() { results <- r.Submit(t.Context(), query("first")) }()
	require.Eventually(t, func() bool { return len(r.arrivals) == 1 }, waitLimit, time.Millisecond)
	refusal := r.Submit(t.Context(), query("second")).Refusal
	require.Equal(t, tiller.NotRun, refusal.Verdict)
	require.Equal(t, tiller.ReasonQueueFull, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	r.ReportLoad("u1", 1, false)
	close(release)
	require.NotNil(t, receive(t, results).Answer)
	nextEvent[reducer.LoadReported](t, s)
}

// Guards against a planned stop that refuses a query that would finish in time, and one that does not end
// when a query never finishes.
func TestStop(t *testing.T) {
	for _, finishes := range []bool{true, false} {
		t.Run(fmt.Sprint("finishes=", finishes), func(t *testing.T) {
			var arrived reducer.QueryArrived
			s := newFakeReducer(func(e reducer.Event) []reducer.Effect {
				switch e := e.(type) {
				case reducer.QueryArrived:
					arrived = e
				case reducer.StopRequested:
					return []reducer.Effect{reducer.Wake{Time: e.Now + 20}}
				case reducer.TimeAdvanced:
					if finishes {
						return []reducer.Effect{replyTo(arrived, answer("s")), reducer.Stopped{}}
					}
				}
				return nil
			})
			r := New(s.config())
			results := make(chan tiller.Result, 1)
			go func() { results <- r.Submit(t.Context(), query("q")) }()
			nextEvent[reducer.QueryArrived](t, s)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			err := r.Stop(ctx)
			result := receive(t, results)
			if finishes {
				require.NoError(t, err)
				require.NotNil(t, result.Answer)
			} else {
				require.ErrorContains(t, err, "abandoned 1 queries")
				require.Equal(t, tiller.MayHaveRun, result.Refusal.Verdict)
				require.Equal(t, tiller.ReasonStopping, result.Refusal.Reason)
			}
			require.Equal(t, tiller.NotRun, r.Submit(t.Context(), query("late")).Refusal.Verdict)
			require.ErrorIs(t, r.View(func() {}), ErrEnded)
		})
	}
}

// Guards against a data race between the event loop and concurrent callers, and against mixed-up results.
func TestConcurrentCallers(t *testing.T) {
	pending := map[tiller.AttemptID]reducer.QueryArrived{}
	next := tiller.AttemptID(0)
	cfg := Config{Clock: tiller.SystemClock()}
	cfg.Step = func(e reducer.Event) []reducer.Effect {
		switch e := e.(type) {
		case reducer.QueryArrived:
			next++
			pending[next] = e
			return []reducer.Effect{reducer.SendAttempt{Request: tiller.SearchRequest{Attempt: next, ID: e.Query.ID}, ValidUntil: e.Now + tiller.Minute}}
		case reducer.ResponseArrived:
			return []reducer.Effect{replyTo(pending[e.Attempt], answer(string(e.Response.ID)))}
		}
		return nil
	}
	cfg.Send = func(_ context.Context, a reducer.SendAttempt) (tiller.SearchResponse, error) {
		return tiller.SearchResponse{ID: a.Request.ID, Attempt: a.Request.Attempt}, nil
	}
	r := New(cfg)
	defer r.Close()
	var wrong atomic.Int64
	done := make(chan struct{})
	const callers = 200
	for i := range callers {
		go func() {
			id := fmt.Sprint(i)
			result := r.Submit(t.Context(), query(id))
			if result.Answer == nil || result.Answer.Snapshot != id {
				wrong.Add(1)
			}
			done <- struct{}{}
		}()
	}
	for range callers {
		receive(t, done)
	}
	require.Zero(t, wrong.Load())
}
