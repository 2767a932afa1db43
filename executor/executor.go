// Package executor runs a gatherer: it feeds it events, carries out its effects, and gives the
// outcome of each query to the one who waits for it.
package executor

import (
	"context"
	"net/http"
	"sync"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// Request is what is sent on to upstreams.
type Request struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Method string
	// URI is path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Outcome is the end of a query. Exactly one of its fields is set.
type Outcome struct {
	// PassedThrough is an upstream's answer that is passed on unchanged.
	PassedThrough *forwarder.Response
	Gathered      *gatherer.ReplyGathered
	SubReply      *gatherer.SubReply
	Refused       *gatherer.Refuse
}

// QueryHandle stands for a query that was submitted.
type QueryHandle struct {
	id      uint64
	request Request
	// Done receives the outcome.
	Done chan Outcome
}

// Codec translates requests and answers of upstreams. Its functions may be called concurrently.
type Codec struct {
	// Outgoing sets the headers that an upstream expects.
	Outgoing func(h http.Header, left tiller.Millis, upstreamID string)
	// Incoming reads an upstream's answer.
	Incoming func(forwarder.Response) gatherer.Answer
}

// Observer is told what was decided, before it takes effect. Its functions must not block.
type Observer struct {
	Effect func(gatherer.Effect)
	Answer func(took tiller.Millis, opened bool)
}

// Executor owns a gatherer's State. Its methods may be called concurrently.
type Executor struct {
	clock    tiller.Clock
	client   *forwarder.Client
	codec    Codec
	observer Observer

	mu          sync.Mutex
	state       *gatherer.State
	timer       *time.Timer
	timerAt     tiller.Millis
	lastQuery   uint64
	pending     map[uint64]*QueryHandle
	cancelFuncs map[uint64]context.CancelFunc
	// confirmFuncs holds, by attempt, how to confirm a sub-query that another daemon has begun.
	confirmFuncs map[uint64]func()
	// currentResponse is the answer of the attempt whose end is being decided.
	currentResponse *forwarder.Response
}

// New returns an executor of state. New takes ownership of state.
func New(clock tiller.Clock, client *forwarder.Client, codec Codec, observer Observer, state *gatherer.State) *Executor {
	x := &Executor{
		clock: clock, client: client, codec: codec, observer: observer, state: state,
		pending: make(map[uint64]*QueryHandle), cancelFuncs: make(map[uint64]context.CancelFunc), confirmFuncs: make(map[uint64]func()),
	}
	x.timer = time.AfterFunc(time.Hour, func() { x.Step(gatherer.TimerFired{}) })
	return x
}

// Submit starts a client's query.
func (x *Executor) Submit(r Request, e gatherer.QueryArrived) *QueryHandle {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID = id, r.ID
		return e
	})
}

// SubmitSub starts the sub-query of another daemon.
func (x *Executor) SubmitSub(r Request, e gatherer.SubQueryArrived) *QueryHandle {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID = id, r.ID
		return e
	})
}

func (x *Executor) submit(r Request, event func(id uint64) gatherer.Event) *QueryHandle {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastQuery++
	t := &QueryHandle{id: x.lastQuery, request: r, Done: make(chan Outcome, 1)}
	x.pending[t.id] = t
	x.step(event(t.id))
	return t
}

// Abandon ends a query whose asker has gone.
func (x *Executor) Abandon(t *QueryHandle) { x.Step(gatherer.QueryAbandoned{Query: t.id}) }

// Confirm says that the asking daemon knows that a sub-query was begun.
func (x *Executor) Confirm(t *QueryHandle) { x.Step(gatherer.SubQueryConfirmed{Query: t.id}) }

// Step feeds an event.
func (x *Executor) Step(e gatherer.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.step(e)
}

// Read calls f with the state, which f must not keep.
func (x *Executor) Read(f func(*gatherer.State)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.state)
}

func (x *Executor) step(e gatherer.Event) {
	now := x.clock.Now()
	for _, effect := range x.state.Step(now, e) {
		x.observer.Effect(effect)
		x.execute(effect)
	}
	at, ok := x.state.Next()
	if ok && at != x.timerAt {
		x.timerAt = at
		x.timer.Reset(max(at-now, 0).Duration())
	}
	if _, fired := e.(gatherer.TimerFired); fired && ok {
		x.timer.Reset(max(at-now, 0).Duration())
	}
}

func (x *Executor) execute(e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.Send:
		x.sendToUpstream(e)
	case gatherer.Ask:
		x.sendSubQuery(e)
	case gatherer.Warm:
		go x.client.Warm(forwarder.Request{Address: e.Upstream.Address, Key: e.Upstream.ID}, e.Connections)
	case gatherer.WarmPeer:
		go x.client.Warm(gatherRequest(e.Member.Address), 1)
	case gatherer.Probe:
		time.AfterFunc(e.After.Duration(), func() { x.probePeer(e.Member) })
	case gatherer.Confirm:
		x.confirmSubQuery(e.Attempt)
	case gatherer.Cancel:
		x.cancelAttempt(e)
	case gatherer.Pass:
		x.finishQuery(e.Query, Outcome{PassedThrough: x.currentResponse})
	case gatherer.ReplyGathered:
		x.finishQuery(e.Query, Outcome{Gathered: &e})
	case gatherer.ReplySub:
		x.finishQuery(e.Query, Outcome{SubReply: &e.Reply})
	case gatherer.Refuse:
		x.finishQuery(e.Query, Outcome{Refused: &e})
	}
}

func (x *Executor) finishQuery(query uint64, o Outcome) {
	t, ok := x.pending[query]
	if !ok {
		return
	}
	delete(x.pending, query)
	t.Done <- o
}

// nonRepeatableMaxIdle is the longest time for which a connection may have been idle before a request that
// must not run twice: an upstream may close an older one just then, and whether the request ran is
// not known.
const nonRepeatableMaxIdle = 1500 * tiller.Millis(1)

// sendToUpstream sends a request to an upstream in a goroutine of its own.
func (x *Executor) sendToUpstream(e gatherer.Send) {
	t := x.pending[e.Query]
	header := t.request.Header.Clone()
	x.codec.Outgoing(header, e.Left, e.Upstream.ID)
	r := forwarder.Request{
		Address: e.Upstream.Address, Key: e.Upstream.ID, Method: t.request.Method, URI: t.request.URI,
		Host: t.request.Host, Header: header, Body: t.request.Body, ID: t.request.ID,
	}
	if e.Once {
		r.MaxIdle = nonRepeatableMaxIdle
	}
	ctx := x.attemptContext(e.Attempt, e.Left)
	go func() {
		sent := x.clock.Now()
		resp, failure := x.client.Do(ctx, r)
		x.observer.Answer(x.clock.Now()-sent, resp.Opened)
		x.endAttempt(e.Attempt, resp, failure)
	}()
}

// endAttempt feeds the end of an attempt, with its answer at hand for Pass.
func (x *Executor) endAttempt(id uint64, resp forwarder.Response, failure *tiller.Failure) {
	event := gatherer.AttemptEnded{Attempt: id, Failure: failure}
	if failure == nil {
		event.Answer = x.codec.Incoming(resp)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.releaseAttempt(id)
	x.currentResponse = &resp
	x.step(event)
	x.currentResponse = nil
}

// attemptContext returns the context of an attempt, which ends after left or on Cancel.
func (x *Executor) attemptContext(attempt uint64, left tiller.Millis) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 1).Duration())
	x.cancelFuncs[attempt] = cancel
	return ctx
}

func (x *Executor) releaseAttempt(attempt uint64) {
	if cancel, ok := x.cancelFuncs[attempt]; ok {
		cancel()
		delete(x.cancelFuncs, attempt)
	}
}

func (x *Executor) cancelAttempt(e gatherer.Cancel) {
	cancel, ok := x.cancelFuncs[e.Attempt]
	if !ok {
		return
	}
	if e.After <= 0 {
		cancel()
		return
	}
	time.AfterFunc(e.After.Duration(), cancel)
}
