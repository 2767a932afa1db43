package sender_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// sequence returns requests at even times.
func sequence(gap time.Duration) func() planner.Request {
	var at time.Duration
	return func() planner.Request {
		at += gap
		return planner.Request{At: at}
	}
}

// Guards against a closed loop, in which slow answers delay later queries: here none is answered before all are sent.
func TestOpenLoop(t *testing.T) {
	const n = 20
	var sent sync.WaitGroup
	sent.Add(n)
	s := sender.Sender{
		Next: sequence(time.Millisecond),
		Ask: func(context.Context, planner.Request, time.Time) {
			sent.Done()
			sent.Wait()
		},
	}
	s.Run(t.Context(), time.Now(), (n+1)*time.Millisecond)
}

// Guards against coordinated omission: a query that is sent late counts from its intended start.
func TestIntendedStart(t *testing.T) {
	start := time.Now().Add(-time.Hour)
	client := sender.NewClient(sender.NewRotation(), time.Second)
	var outcomes []sender.Outcome
	s := sender.Sender{
		Next: sequence(time.Minute),
		Ask: func(ctx context.Context, r planner.Request, intended time.Time) {
			client.Ask(ctx, r, intended, func(o sender.Outcome) { outcomes = append(outcomes, o) })
		},
	}
	s.Run(t.Context(), start, 2*time.Minute)
	require.Len(t, outcomes, 1)
	require.GreaterOrEqual(t, outcomes[0].Lag, 59*time.Minute)
	require.GreaterOrEqual(t, outcomes[0].Latency, outcomes[0].Lag)
	require.Equal(t, "NoDaemon", outcomes[0].Cause())
}

// Guards against queries that are sent after an interruption.
func TestInterruption(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var asked atomic.Int32
	s := sender.Sender{
		Next: sequence(time.Millisecond),
		Ask: func(ctx context.Context, _ planner.Request, _ time.Time) {
			asked.Add(1)
			cancel()
			require.NoError(t, ctx.Err(), "what was sent is waited for")
		},
	}
	s.Run(ctx, time.Now(), time.Hour)
	require.Positive(t, asked.Load())
}

// daemon serves the callers' interface from a function and returns its address.
func daemon(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// ask asks one request and returns its outcomes.
func ask(t *testing.T, r planner.Request, rotation *sender.Rotation) []sender.Outcome {
	t.Helper()
	client := sender.NewClient(rotation, 20*time.Second)
	defer client.Close()
	var outcomes []sender.Outcome
	client.Ask(t.Context(), r, time.Now(), func(o sender.Outcome) { outcomes = append(outcomes, o) })
	return outcomes
}

const answer = `{"ID":"q","Service":"s","Snapshot":"1","Coverage":{"Share":1,"Asked":1,"Answered":1,"Missing":[]},"Items":[]}`

// Guards against outcomes that are sorted wrongly: an answer, a refusal, and the ways to lose a reply.
func TestOutcomes(t *testing.T) {
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	r := planner.Request{ID: "q", Kind: planner.Search, Service: "s", Body: []byte("{}")}
	answered := ask(t, r, sender.NewRotation(daemon(t, reply(200, answer))))
	require.Equal(t, "1", answered[0].Answer.Snapshot)
	refused := ask(t, r, sender.NewRotation(daemon(t, reply(503, `{"Verdict":"NotRun","Reason":"NoOwner","RetryAfterMillis":0}`))))
	require.Equal(t, "NoOwner", refused[0].Refusal.Reason)
	for want, address := range map[string]string{
		"BadReply":          daemon(t, reply(200, `{"ID":7}`)),
		"ConnectionLost":    daemon(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		"ConnectionRefused": free.Addr().String(),
	} {
		lost := ask(t, r, sender.NewRotation(address))
		require.Equal(t, want, lost[0].Cause(), lost[0].Lost)
	}
}

// Guards against a single-use query without its token, and a resend under another one or to the same daemon.
func TestSingleUse(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	serve := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if r.URL.Path == "/v1/token" {
				_, _ = w.Write([]byte(`{"Token":"by-` + name + `","ExpiresMillis":1}`))
				return
			}
			var q struct {
				Token      string
				Repeatable bool
			}
			_ = json.NewDecoder(r.Body).Decode(&q)
			mu.Lock()
			defer mu.Unlock()
			require.False(t, q.Repeatable)
			seen = append(seen, name+" "+q.Token)
			_, _ = w.Write([]byte(answer))
		}
	}
	rotation := sender.NewRotation(daemon(t, serve("a")))
	rotation.Add(daemon(t, serve("b")))
	r := planner.Request{ID: "q", Kind: planner.Print, Service: "s", Body: []byte("{}"), Daemon: 0, Issuer: 1, Resend: true}
	outcomes := ask(t, r, rotation)
	require.Equal(t, []string{"a by-b", "b by-b"}, seen)
	require.False(t, outcomes[0].IsResend)
	require.True(t, outcomes[1].IsResend)
	rotation.Remove(rotation.Addresses()[0])
	require.Len(t, rotation.Addresses(), 1)
}
