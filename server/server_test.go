package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// testTimeout bounds each wait of a test. A passing test waits only a few milliseconds.
const testTimeout = 5 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// listen serves a handler on a loopback port and returns its address.
func listen(t *testing.T, handler http.Handler, err error) string {
	t.Helper()
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewHTTP(handler, logr.Discard())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		s.Close()
		<-ended
	})
	return l.Addr().String()
}

func callerConfig(submit func(context.Context, tiller.Query) tiller.Result) CallerConfig {
	return CallerConfig{
		Clock:    tiller.SystemClock(),
		Metrics:  NewMetrics(),
		Submit:   submit,
		Token:    func(context.Context) reducer.IssueToken { return reducer.IssueToken{} },
		Ready:    func() string { return "no document" },
		Stopping: func() bool { return false },
	}
}

// partialAnswer answers a query with one item and the coverage 1 of 2 shards.
func partialAnswer(_ context.Context, q tiller.Query) tiller.Result {
	coverage := tiller.Coverage{Asked: 2, Answered: 1, Missing: []tiller.MissingShard{{Shard: "b", Reason: tiller.ReasonTimeout}}}
	items := []tiller.Item{{Key: "k", Score: 2, Body: q.Body}}
	return tiller.Result{Answer: &tiller.Answer{ID: q.ID, Service: q.Service, Snapshot: "s1", Coverage: coverage, Items: items}}
}

const validQuery = `{"ID":"q1","Caller":"c","Service":"s","Route":"search","Body":{"a":1},"DeadlineMillis":1000}`

// request returns an HTTP/1.1 request as it is sent, with the given Content-Length.
func request(method, path, header, body string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s", method, path, length, header, body)
}

// roundTrip sends raw bytes, closes the sending side of the connection and returns the response and its body.
func roundTrip(t *testing.T, address, raw string) (*http.Response, []byte) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	// The daemon may respond and close before it has read everything, so write errors are ignored.
	_, _ = io.WriteString(c, raw)
	_ = c.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, body
}

// TestBadInput guards against malformed requests that are run, that get a refusal with a wrong status, verdict or
// reason, or after which the daemon no longer answers.
func TestBadInput(t *testing.T) {
	const isJSON = "Content-Type: application/json\r\n"
	query := func(body string) string { return request("POST", "/v1/query", isJSON, body, len(body)) }
	without := func(field string) string { return strings.Replace(validQuery, field, "", 1) }
	oversized := strings.Repeat("x", 1<<20+1)
	for _, test := range []struct {
		name   string
		raw    string
		status int
		reason tiller.Reason
	}{
		{"truncated body", request("POST", "/v1/query", isJSON, validQuery[:40], len(validQuery)), 400, tiller.ReasonBadRequest},
		{"truncated JSON", query(validQuery[:40]), 400, tiller.ReasonBadRequest},
		{"no body", query(""), 400, tiller.ReasonBadRequest},
		{"trailing data", query(validQuery + "{}"), 400, tiller.ReasonBadRequest},
		{"body too large", query(oversized), 413, tiller.ReasonBadRequest},
		{"wrong media type", request("POST", "/v1/query", "Content-Type: text/plain\r\n", validQuery, len(validQuery)), 415, tiller.ReasonBadRequest},
		{"no media type", request("POST", "/v1/query", "", validQuery, len(validQuery)), 415, tiller.ReasonBadRequest},
		{"wrong type of field", query(strings.Replace(validQuery, `"q1"`, `7`, 1)), 400, tiller.ReasonBadRequest},
		{"unknown field", query(strings.Replace(validQuery, `{`, `{"X":1,`, 1)), 400, tiller.ReasonBadRequest},
		{"coverage above 1", query(strings.Replace(validQuery, `{`, `{"NeededCoverage":1.5,`, 1)), 400, tiller.ReasonBadRequest},
		{"missing deadline", query(without(`,"DeadlineMillis":1000`)), 400, tiller.ReasonBadRequest},
		{"deadline not positive", query(strings.Replace(validQuery, "1000", "0", 1)), 400, tiller.ReasonDeadlinePast},
		{"unknown service", query(strings.Replace(validQuery, `"s"`, `"unknown"`, 1)), 404, tiller.ReasonUnknownService},
		{"unknown path", request("POST", "/v1/nothing", isJSON, validQuery, len(validQuery)), 404, tiller.ReasonBadRequest},
		{"unknown method", request("BREW", "/v1/query", isJSON, validQuery, len(validQuery)), 405, tiller.ReasonBadRequest},
		{"method of a page", request("POST", "/metrics", "", "", 0), 405, tiller.ReasonBadRequest},
		{"header of 1 MiB", request("POST", "/v1/query", "X: "+oversized[:1<<20]+"\r\n"+isJSON, validQuery, len(validQuery)), 431, tiller.ReasonBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := callerConfig(func(ctx context.Context, q tiller.Query) tiller.Result {
				if q.Service != "s" {
					return tiller.Result{Refusal: &tiller.Refusal{ID: q.ID, Reason: tiller.ReasonUnknownService}}
				}
				return partialAnswer(ctx, q)
			})
			handler, err := NewCaller(cfg)
			address := listen(t, handler, err)
			resp, body := roundTrip(t, address, test.raw)
			require.Equal(t, test.status, resp.StatusCode, string(body))
			var refusal caller.Refusal
			require.NoError(t, refusal.UnmarshalJSON(body))
			require.Equal(t, caller.RefusalVerdictNotRun, refusal.Verdict)
			require.EqualValues(t, test.reason, refusal.Reason)
			if test.reason != tiller.ReasonUnknownService {
				require.EqualValues(t, 1, cfg.Metrics.Value("refusal", test.reason))
			}

			resp, body = roundTrip(t, address, query(validQuery))
			require.Equal(t, 200, resp.StatusCode)
			require.JSONEq(t, `{"ID":"q1","Service":"s","Snapshot":"s1",
				"Coverage":{"Share":0.5,"Asked":2,"Answered":1,"Missing":[{"Shard":"b","Reason":"Timeout"}]},
				"Items":[{"Key":"k","Score":2,"Body":{"a":1}}]}`, string(body))
		})
	}
}

// TestRefusalStatus guards against a status that blames the wrong side (client or server), or that makes a client
// retry a request that must not be sent again.
func TestRefusalStatus(t *testing.T) {
	for _, test := range []struct {
		verdict tiller.Verdict
		reason  tiller.Reason
		status  int
		after   string
	}{
		{tiller.NotRun, tiller.ReasonQueueFull, 429, "2"},
		{tiller.NotRun, tiller.ReasonNoOwner, 503, ""},
		{tiller.NotRun, tiller.ReasonCoverageTooLow, 503, ""},
		{tiller.MayHaveRun, tiller.ReasonCoverageTooLow, 504, ""},
		{tiller.MayHaveRun, tiller.ReasonTokenIssuerGone, 410, ""},
		{tiller.MayHaveRun, tiller.ReasonHarmful, 422, ""},
	} {
		t.Run(fmt.Sprint(test.verdict, test.reason), func(t *testing.T) {
			handler, err := NewCaller(callerConfig(func(context.Context, tiller.Query) tiller.Result {
				return tiller.Result{Refusal: &tiller.Refusal{Verdict: test.verdict, Reason: test.reason, RetryAfter: 1001}}
			}))
			resp, body := roundTrip(t, listen(t, handler, err), request("POST", "/v1/query", "Content-Type: application/json\r\n", validQuery, len(validQuery)))
			require.Equal(t, test.status, resp.StatusCode)
			require.Equal(t, test.after, resp.Header.Get("Retry-After"))
			require.Contains(t, string(body), fmt.Sprintf(`"Verdict":%q`, test.verdict))
		})
	}
}

// TestCallerDisconnectCancelsQuery guards against a query that keeps running after its caller has disconnected.
func TestCallerDisconnectCancelsQuery(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	handler, err := NewCaller(callerConfig(func(ctx context.Context, _ tiller.Query) tiller.Result {
		close(started)
		<-ctx.Done()
		close(ended)
		return tiller.Result{Refusal: &tiller.Refusal{Verdict: tiller.MayHaveRun, Reason: tiller.ReasonCancelled}}
	}))
	c, err := net.Dial("tcp", listen(t, handler, err))
	require.NoError(t, err)
	_, err = io.WriteString(c, request("POST", "/v1/query", "Content-Type: application/json\r\n", validQuery, len(validQuery)))
	require.NoError(t, err)
	for _, step := range []chan struct{}{started, ended} {
		select {
		case <-step:
		case <-time.After(testTimeout):
			require.FailNow(t, "the query did not start, or was not cancelled when its caller disconnected")
		}
		c.Close()
	}
}

// TestHealthAndMetricsPages guards against a metrics page without the reasons that were never counted, and against
// a readiness page that tells a load balancer that an unready daemon is ready.
func TestHealthAndMetricsPages(t *testing.T) {
	handler, err := NewCaller(callerConfig(partialAnswer))
	address := listen(t, handler, err)
	for path, want := range map[string]string{"/healthz": "200 ok\n", "/readyz": "503 no document\n"} {
		resp, body := roundTrip(t, address, request("GET", path, "", "", 0))
		require.Equal(t, want, fmt.Sprint(resp.StatusCode, " ", string(body)))
	}
	for _, path := range []string{"/metrics", "/metrics.json"} {
		_, body := roundTrip(t, address, request("GET", path, "", "", 0))
		for _, reason := range tiller.Reasons() {
			require.Contains(t, string(body), "refusal."+string(reason))
		}
	}
}

// TestOperatorErrors guards against a change of unknown outcome that is reported as not applied.
func TestOperatorErrors(t *testing.T) {
	var putErr error
	handler, err := NewOperator(OperatorConfig{
		Clock:   tiller.SystemClock(),
		Metrics: NewMetrics(),
		Status:  func(context.Context) (*operator.Status, error) { return nil, errors.New("broken") },
		PutDocument: func(context.Context, string, *operator.Change) (*operator.Accepted, error) {
			return &operator.Accepted{Revision: 4}, putErr
		},
		Ready:    func() string { return "" },
		Stopping: func() bool { return true },
	})
	address := listen(t, handler, err)
	change := `{"Operation":"o","Operator":"p","ExpectedRevision":3,"Text":"{}"}`
	put := request("PUT", "/v1/document/trial", "Content-Type: application/json\r\n", change, len(change))
	for _, test := range []struct {
		name string
		raw  string
		err  error
		want string
	}{
		{"accepted", put, nil, `200 {"Revision":4}`},
		{"unknown outcome", put, errors.New("lost"), `500 {"Verdict":"MayHaveRun","Reason":"Internal","Detail":"lost","Faults":[]}`},
		{"conflict", put, NewOperatorError(tiller.NotRun, operator.ErrorReasonConflict, "later"), `409 {"Verdict":"NotRun","Reason":"Conflict","Detail":"later","Faults":[]}`},
		{"status", request("GET", "/v1/status", "", "", 0), nil, `500 {"Verdict":"MayHaveRun","Reason":"Internal","Detail":"broken","Faults":[]}`},
		{"unknown path", request("GET", "/v1/x", "", "", 0), nil, `404 {"Verdict":"NotRun","Reason":"NotFound","Detail":"there is nothing at this path","Faults":[]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			putErr = test.err
			resp, body := roundTrip(t, address, test.raw)
			require.Equal(t, test.want, fmt.Sprint(resp.StatusCode, " ", string(body)))
			require.True(t, resp.Close, "a stopping daemon must ask for the connection to be closed")
		})
	}
	resp, body := roundTrip(t, address, strings.Replace(put, "trial", "nowhere", 1))
	require.Equal(t, 400, resp.StatusCode)
	require.Contains(t, string(body), `"Reason":"BadRequest"`)
}

// TestReadDeadline guards against waiting forever for a body that does not arrive, and against a query that is
// cancelled by the read deadline of its body: net/http cancels a request when a read deadline passes.
func TestReadDeadline(t *testing.T) {
	const bound = 50 * tiller.Millis(1)
	h := &callerHandler{cfg: callerConfig(nil)}
	ended := make(chan error, 1)
	m := &middleware{
		clock: tiller.SystemClock(), maxBytes: maxCallerBytes, bodyReadMillis: bound, refuse: h.refuse,
		stopping: func() bool { return false },
		next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * bound.Duration())
			ended <- r.Context().Err()
		}),
	}
	address := listen(t, m, nil)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, request("POST", "/v1/query", "", validQuery, len(validQuery)))
	require.NoError(t, err)
	require.NoError(t, <-ended)

	slowConn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer slowConn.Close()
	_, err = io.WriteString(slowConn, request("POST", "/v1/query", "", validQuery[:10], len(validQuery)))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(slowConn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
}
