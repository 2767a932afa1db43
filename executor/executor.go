// Package executor drives a gatherer's state machine: it feeds in events, executes the resulting effects
// (requests, timers, cancellations), and delivers the outcome of each query to its caller.
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

// Request is a client request as it is forwarded to upstreams.
type Request struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Method string
	// URI is the path and query string, unmodified from the client.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Outcome is the result of a query. Exactly one field is set.
type Outcome struct {
	// PassedThrough is an upstream response that is returned to the client unchanged.
	PassedThrough *forwarder.Response
	Gathered      *gatherer.ReplyGathered
	SubReply      *gatherer.SubReply
	Refused       *gatherer.Refuse
}

// QueryHandle identifies a submitted query.
type QueryHandle struct {
	id      uint64
	request Request
	// Part receives the part of a reply to a sub-query that is sent ahead, if there is one, before Done receives the
	// rest. Both are buffered, so delivery never blocks.
	Part chan gatherer.SubReply
	// Done receives the outcome.
	Done chan Outcome
}

// Codec translates upstream requests and responses. Its functions may be called concurrently.
type Codec struct {
	// Outgoing sets the headers that an upstream expects. remaining is the time until the attempt times out.
	Outgoing func(h http.Header, remaining tiller.Millis, upstreamID string)
	// PerAttempt reports whether a header differs between the attempts of one request.
	PerAttempt func(name string) bool
	// Incoming decodes an upstream response.
	Incoming func(forwarder.Response) gatherer.Answer
}

// Observer holds callbacks for metrics and logs, which must not block, and for writes to the store.
type Observer struct {
	// Effect is called before each effect is executed, with the executor's lock held.
	Effect func(gatherer.Effect)
	// Answer is called after each request to an upstream, successful or not. opened reports whether a
	// response came over a new connection.
	Answer func(took tiller.Millis, opened bool)
	// Publish writes the state of a rollout to the store. It runs in a goroutine of its own.
	Publish func(e gatherer.PublishRollout, emit func(gatherer.Event))
}

// Executor owns a gatherer.State and serializes access to it. Its methods may be called concurrently.
type Executor struct {
	clock    tiller.Clock
	client   *forwarder.Client
	codec    Codec
	observer Observer

	mu          sync.Mutex
	state       *gatherer.State
	timer       *time.Timer
	alarm       gatherer.Alarm
	lastQuery   uint64
	pending     map[uint64]*QueryHandle
	cancelFuncs map[uint64]context.CancelFunc
	// confirmFuncs holds, by attempt, the functions that confirm sub-queries accepted by other daemons.
	confirmFuncs map[uint64]func()
	// currentResponse is the response of the attempt whose end is being processed; gatherer.ReplyPassthrough returns it.
	currentResponse *forwarder.Response
}

// New returns an Executor that takes ownership of state.
func New(clock tiller.Clock, client *forwarder.Client, codec Codec, observer Observer, state *gatherer.State) *Executor {
	x := &Executor{
		clock: clock, client: client, codec: codec, observer: observer, state: state,
		pending: make(map[uint64]*QueryHandle), cancelFuncs: make(map[uint64]context.CancelFunc), confirmFuncs: make(map[uint64]func()),
	}
	x.timer = time.AfterFunc(time.Hour, func() { x.Step(gatherer.TimerFired{}) })
	return x
}

// Submit starts a client query. It sets the Query and ID of e.
func (x *Executor) Submit(r Request, e gatherer.QueryArrived) *QueryHandle {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID, e.Digest = id, r.ID, x.digest(r)
		return e
	})
}

// SubmitSub starts a sub-query received from another daemon. It sets the Query and ID of e.
func (x *Executor) SubmitSub(r Request, e gatherer.SubQueryArrived) *QueryHandle {
	return x.submit(r, func(id uint64) gatherer.Event {
		e.Query, e.ID, e.Digest = id, r.ID, x.digest(r)
		return e
	})
}

func (x *Executor) submit(r Request, event func(id uint64) gatherer.Event) *QueryHandle {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastQuery++
	t := &QueryHandle{id: x.lastQuery, request: r, Part: make(chan gatherer.SubReply, 1), Done: make(chan Outcome, 1)}
	x.pending[t.id] = t
	x.step(event(t.id))
	return t
}

// Abandon ends a query whose client or requesting daemon has disconnected.
func (x *Executor) Abandon(t *QueryHandle) { x.Step(gatherer.QueryAbandoned{Query: t.id}) }

// Confirm reports that the requesting daemon has seen that the sub-query was accepted, and has not replaced it.
func (x *Executor) Confirm(t *QueryHandle) { x.Step(gatherer.SubQueryConfirmed{Query: t.id}) }

// Step processes one event and executes the resulting effects.
func (x *Executor) Step(e gatherer.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.step(e)
}

// Now returns the time of the executor's clock.
func (x *Executor) Now() tiller.Millis { return x.clock.Now() }

// Read calls f with the state under the lock. f must not retain the state.
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
	if _, fired := e.(gatherer.TimerFired); fired {
		x.alarm = x.alarm.WithFired()
	}
	x.setTimer(now)
}

// setTimer sets the timer for the next work of the state, unless it is set for that time already.
func (x *Executor) setTimer(now tiller.Millis) {
	at, ok := x.state.NextTimer()
	if !ok {
		return
	}
	var set bool
	if x.alarm, set = x.alarm.WithDue(at); set {
		x.timer.Reset(max(at-now, 0).Duration())
	}
}

func (x *Executor) execute(e gatherer.Effect) {
	switch e := e.(type) {
	case gatherer.Send:
		x.sendToUpstream(e)
	case gatherer.SendSubQuery:
		x.sendSubQuery(e)
	case gatherer.PreconnectUpstream:
		go x.client.Warm(forwarder.Request{Address: e.Upstream.Address, Key: e.Upstream.ID}, e.Connections)
	case gatherer.UpstreamLeaving:
		x.client.CloseIdle(e.Upstream.Address, e.Upstream.ID)
	case gatherer.PreconnectPeer:
		go x.client.Warm(gatherRequest(e.Member.Address), 1)
	case gatherer.Probe:
		time.AfterFunc(e.After.Duration(), func() { x.probePeer(e.Member) })
	case gatherer.ProbeUpstream:
		go x.probeUpstream(e)
	case gatherer.SendReport:
		go x.sendReport(e)
	case gatherer.PublishRollout:
		go x.observer.Publish(e, x.Step)
	case gatherer.ConfirmSubQuery:
		x.confirmSubQuery(e.Attempt)
	case gatherer.Cancel:
		x.cancelAttempt(e)
	case gatherer.ReplyPassthrough:
		x.finishQuery(e.Query, Outcome{PassedThrough: x.currentResponse})
	case gatherer.ReplyGathered:
		x.finishQuery(e.Query, Outcome{Gathered: &e})
	case gatherer.ReplyPart:
		if t, ok := x.pending[e.Query]; ok {
			t.Part <- e.Reply
		}
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

// nonRepeatableMaxIdle is the maximum idle time of a connection that carries a request that must not run
// twice. An upstream may close a connection that has been idle for longer at the moment the request is
// sent, which leaves it unknown whether the request ran.
const nonRepeatableMaxIdle = 1500 * tiller.Millis(1)

// sendToUpstream sends a request to an upstream in a new goroutine.
func (x *Executor) sendToUpstream(e gatherer.Send) {
	t := x.pending[e.Query]
	header := t.request.Header.Clone()
	x.codec.Outgoing(header, e.Timeout, e.Upstream.ID)
	r := forwarder.Request{
		Address: e.Upstream.Address, Key: e.Upstream.ID, Method: t.request.Method, URI: t.request.URI,
		Host: t.request.Host, Header: header, Body: t.request.Body, ID: t.request.ID,
	}
	if e.AtMostOnce {
		r.MaxIdle = nonRepeatableMaxIdle
	}
	ctx := x.attemptContext(e.Attempt, e.Timeout)
	go func() {
		sent := x.clock.Now()
		resp, failure := x.client.Do(ctx, r)
		defer resp.Holding.Release()
		x.observer.Answer(x.clock.Now()-sent, resp.Opened)
		x.endAttempt(e.Attempt, resp, failure)
	}()
}

// endAttempt processes the end of an attempt. resp is returned to the client if the gatherer emits ReplyPassthrough.
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

// attemptContext returns the context of an attempt. It ends after the remaining time, or on gatherer.Cancel.
func (x *Executor) attemptContext(attempt uint64, remaining tiller.Millis) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 1).Duration())
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
