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
	// Passed is an upstream's answer that is passed on unchanged.
	Passed   *forwarder.Response
	Gathered *gatherer.ReplyGathered
	Sub      *gatherer.SubReply
	Refused  *gatherer.Refuse
}

// Ticket stands for a query that was submitted.
type Ticket struct {
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

	mu        sync.Mutex
	state     *gatherer.State
	timer     *time.Timer
	timerAt   tiller.Millis
	lastQuery uint64
	tickets   map[uint64]*Ticket
	cancels   map[uint64]context.CancelFunc
	// confirms holds, by attempt, how to confirm a sub-query that another daemon has begun.
	confirms map[uint64]func()
	// passing is the answer of the attempt whose end is being decided.
	passing *forwarder.Response
}

// New returns an executor of state. New takes ownership of state.
func New(clock tiller.Clock, client *forwarder.Client, codec Codec, observer Observer, state *gatherer.State) *Executor {
	x := &Executor{
		clock: clock, client: client, codec: codec, observer: observer, state: state,
		tickets: make(map[uint64]*Ticket), cancels: make(map[uint64]context.CancelFunc), confirms: make(map[uint64]func()),
	}
	x.timer = time.AfterFunc(time.Hour, func() { x.Step(gatherer.TimerFired{}) })
	return x
}

// Submit starts a client's query.
func (x *Executor) Submit(r Request, e gatherer.QueryArrived) *Ticket {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID = id, r.ID
		return e
	})
}

// SubmitSub starts the sub-query of another daemon.
func (x *Executor) SubmitSub(r Request, e gatherer.SubQueryArrived) *Ticket {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID = id, r.ID
		return e
	})
}

func (x *Executor) submit(r Request, event func(id uint64) gatherer.Event) *Ticket {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastQuery++
	t := &Ticket{id: x.lastQuery, request: r, Done: make(chan Outcome, 1)}
	x.tickets[t.id] = t
	x.step(event(t.id))
	return t
}

// Abandon ends a query whose asker has gone.
func (x *Executor) Abandon(t *Ticket) { x.Step(gatherer.QueryAbandoned{Query: t.id}) }

// Confirm says that the asking daemon knows that a sub-query was begun.
func (x *Executor) Confirm(t *Ticket) { x.Step(gatherer.SubQueryConfirmed{Query: t.id}) }

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
	at, ok := x.state.NextTimer()
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
		x.send(e)
	case gatherer.SendSubQuery:
		x.ask(e)
	case gatherer.PreconnectUpstream:
		go x.client.Warm(forwarder.Request{Address: e.Upstream.Address, Key: e.Upstream.ID}, e.Connections)
	case gatherer.PreconnectPeer:
		go x.client.Warm(gatherRequest(e.Member.Address), 1)
	case gatherer.Probe:
		time.AfterFunc(e.After.Duration(), func() { x.probe(e.Member) })
	case gatherer.ConfirmSubQuery:
		x.confirm(e.Attempt)
	case gatherer.Cancel:
		x.cancel(e)
	case gatherer.ReplyPassthrough:
		x.finish(e.Query, Outcome{Passed: x.passing})
	case gatherer.ReplyGathered:
		x.finish(e.Query, Outcome{Gathered: &e})
	case gatherer.ReplySub:
		x.finish(e.Query, Outcome{Sub: &e.Reply})
	case gatherer.Refuse:
		x.finish(e.Query, Outcome{Refused: &e})
	}
}

func (x *Executor) finish(query uint64, o Outcome) {
	t, ok := x.tickets[query]
	if !ok {
		return
	}
	delete(x.tickets, query)
	t.Done <- o
}

// onceMaxIdle is the longest time for which a connection may have been idle before a request that
// must not run twice: an upstream may close an older one just then, and whether the request ran is
// not known.
const onceMaxIdle = 1500 * tiller.Millis(1)

// send sends a request to an upstream in a goroutine of its own.
func (x *Executor) send(e gatherer.Send) {
	t := x.tickets[e.Query]
	header := t.request.Header.Clone()
	x.codec.Outgoing(header, e.Timeout, e.Upstream.ID)
	r := forwarder.Request{
		Address: e.Upstream.Address, Key: e.Upstream.ID, Method: t.request.Method, URI: t.request.URI,
		Host: t.request.Host, Header: header, Body: t.request.Body, ID: t.request.ID,
	}
	if e.AtMostOnce {
		r.MaxIdle = onceMaxIdle
	}
	ctx := x.begin(e.Attempt, e.Timeout)
	go func() {
		sent := x.clock.Now()
		resp, failure := x.client.Do(ctx, r)
		x.observer.Answer(x.clock.Now()-sent, resp.Opened)
		x.ended(e.Attempt, resp, failure)
	}()
}

// ended feeds the end of an attempt, with its answer at hand for Pass.
func (x *Executor) ended(id uint64, resp forwarder.Response, failure *tiller.Failure) {
	event := gatherer.AttemptEnded{Attempt: id, Failure: failure}
	if failure == nil {
		event.Answer = x.codec.Incoming(resp)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.release(id)
	x.passing = &resp
	x.step(event)
	x.passing = nil
}

// begin returns the context of an attempt, which ends after left or on Cancel.
func (x *Executor) begin(attempt uint64, left tiller.Millis) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 1).Duration())
	x.cancels[attempt] = cancel
	return ctx
}

func (x *Executor) release(attempt uint64) {
	if cancel, ok := x.cancels[attempt]; ok {
		cancel()
		delete(x.cancels, attempt)
	}
}

func (x *Executor) cancel(e gatherer.Cancel) {
	cancel, ok := x.cancels[e.Attempt]
	if !ok {
		return
	}
	if e.After <= 0 {
		cancel()
		return
	}
	time.AfterFunc(e.After.Duration(), cancel)
}
