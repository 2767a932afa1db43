package commander_test

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/cmd/tillerctl/commander"
)

// fakeDaemon serves the operator interface from memory. It applies each operation once.
type fakeDaemon struct {
	mu         sync.Mutex
	documents  map[string]operator.StoredDocument
	operations map[string]int64
	// puts are the changes received.
	puts []operator.Change
	// loseReplies is the number of further changes whose replies are lost after they took effect.
	loseReplies int
	// beforePut, when set, may refuse a change before it is handled.
	beforePut func(d *fakeDaemon) *operator.ErrorStatusCode
	explain   *operator.Explanation
	history   *operator.History
	// revision is that in force; 0 means 7.
	revision int64
}

// start serves d and returns its address.
func (d *fakeDaemon) start(t *testing.T) string {
	if d.documents == nil {
		d.documents = map[string]operator.StoredDocument{}
	}
	d.operations = map[string]int64{}
	s, err := operator.NewServer(d)
	require.NoError(t, err)
	return serve(t, s)
}

// serve serves h on loopback until the end of the test and returns the address.
func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (d *fakeDaemon) GetDocument(_ context.Context, params operator.GetDocumentParams) (operator.GetDocumentRes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	doc, ok := d.documents[string(params.Env)]
	if !ok {
		return refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonNotFound), nil
	}
	return &doc, nil
}

func (d *fakeDaemon) PutDocument(_ context.Context, req *operator.Change, params operator.PutDocumentParams) (operator.PutDocumentRes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.puts = append(d.puts, *req)
	if d.beforePut != nil {
		if refused := d.beforePut(d); refused != nil {
			return refused, nil
		}
	}
	res := d.accept(req, string(params.Env))
	if d.loseReplies > 0 {
		d.loseReplies--
		panic(http.ErrAbortHandler)
	}
	return res, nil
}

// received returns the changes received.
func (d *fakeDaemon) received() []operator.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.puts)
}

// stored returns the document of env.
func (d *fakeDaemon) stored(env string) operator.StoredDocument {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.documents[env]
}

// accept applies a change if its revision is the expected one, and once only.
func (d *fakeDaemon) accept(req *operator.Change, env string) operator.PutDocumentRes {
	if revision, ok := d.operations[req.Operation]; ok {
		return &operator.Accepted{Revision: revision}
	}
	current := d.documents[env]
	if current.Revision != req.ExpectedRevision {
		refused := refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonConflict)
		refused.Response.Revision = operator.NewOptInt64(current.Revision)
		refused.Response.Text = operator.NewOptString(current.Text)
		return refused
	}
	d.documents[env] = operator.StoredDocument{Revision: current.Revision + 1, Text: req.Text}
	d.operations[req.Operation] = current.Revision + 1
	return &operator.Accepted{Revision: current.Revision + 1}
}

func (d *fakeDaemon) History(context.Context, operator.HistoryParams) (operator.HistoryRes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.history == nil {
		return refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonNotFound), nil
	}
	return d.history, nil
}

func (d *fakeDaemon) Explain(context.Context, operator.ExplainParams) (operator.ExplainRes, error) {
	if d.explain == nil {
		return refuse(operator.ErrorVerdictNotRun, operator.ErrorReasonNotFound), nil
	}
	return d.explain, nil
}

func (d *fakeDaemon) Status(context.Context) (*operator.Status, error) {
	return &operator.Status{
		Seat: 3, Incarnation: 5, Environment: "trial", Revision: cmp.Or(d.revision, 7), KnowledgeAgeMillis: 120,
		Units:     []operator.Unit{{Service: "s", Owned: true, Owner: 3, LeaseMillis: 900}, {Service: "t", Owner: 1}},
		Upstreams: []operator.UpstreamStatus{{Name: "u1", InFlight: 1, Limit: 2}, {Name: "u2", Limit: 1, Cold: true}},
	}, nil
}

// refuse returns a refusal.
func refuse(v operator.ErrorVerdict, r operator.ErrorReason) *operator.ErrorStatusCode {
	return &operator.ErrorStatusCode{StatusCode: 409, Response: operator.Error{Verdict: v, Reason: r, Faults: []string{}}}
}

// result is what one command line led to.
type result struct {
	code     int
	out, err string
}

// run runs a command line without waits, with in as standard input. Identifiers are "id".
func run(in string, args ...string) result {
	var out, errOut bytes.Buffer
	c := commander.New(strings.NewReader(in), &out, &errOut)
	c.NewID = func() string { return "id" }
	c.Sleep = func(context.Context, time.Duration) {}
	c.Now = func() time.Time { return time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC) }
	code := c.Run(context.Background(), args)
	return result{code: code, out: out.String(), err: errOut.String()}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.Listener.Addr().String()
}
