package executor

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// GatherPath is the path at which daemons take sub-queries from each other.
const GatherPath = "/v1/gather"

// SubQuery is the message by which a daemon asks another to gather some shards.
type SubQuery struct {
	_       struct{} `cbor:",toarray"`
	Request Request
	Terms   gatherer.SubQuery
}

// peerGrace is added to the time of a sub-query before its connection is closed.
const peerGrace = 60 * tiller.Millis(1)

// ask sends a sub-query to another daemon in a goroutine of its own.
func (x *Executor) ask(e gatherer.SendSubQuery) {
	t := x.tickets[e.Query]
	message := SubQuery{Request: t.request, Terms: e.SubQuery}
	ctx := x.begin(e.Attempt, e.Timeout+peerGrace)
	go func() {
		accepted := func(confirm func()) { x.accept(e.Attempt, confirm) }
		reply, failure := x.askPeer(ctx, e.Member.Address, message, accepted)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.release(e.Attempt)
		delete(x.confirms, e.Attempt)
		x.step(gatherer.SubQueryEnded{Attempt: e.Attempt, Failure: failure, Reply: reply})
	}()
}

// accept feeds that another daemon has begun a sub-query. confirm tells that daemon that it was seen.
func (x *Executor) accept(attempt uint64, confirm func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirms[attempt] = confirm
	x.step(gatherer.SubQueryAccepted{Attempt: attempt})
}

// confirm carries out a Confirm. The byte always fits into the buffer of the connection, which holds
// nothing else then.
func (x *Executor) confirm(attempt uint64) {
	if confirm, ok := x.confirms[attempt]; ok {
		delete(x.confirms, attempt)
		confirm()
	}
}

// peerKeep is the time for which an idle connection to another daemon is kept. Daemons do not close them;
// in a large fleet two daemons may have nothing to ask each other for that long.
const peerKeep = 2 * tiller.Minute

// gatherRequest returns a request for a sub-query without its body.
func gatherRequest(address string) forwarder.Request {
	return forwarder.Request{
		Address: address, Key: GatherPath, Method: http.MethodPost, URI: GatherPath, Host: address,
		Header: http.Header{}, Keep: peerKeep,
	}
}

func (x *Executor) askPeer(ctx context.Context, address string, message SubQuery, accepted func(confirm func())) (gatherer.SubReply, *tiller.Failure) {
	var reply gatherer.SubReply
	body, err := cbor.Marshal(message)
	if err != nil {
		return reply, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, err)
	}
	r := gatherRequest(address)
	r.Body, r.Accepted = body, accepted
	resp, failure := x.client.Do(ctx, r)
	if failure != nil {
		return reply, failure
	}
	if resp.Status != http.StatusOK {
		err := errors.Errorf("the daemon at %s answered %d", address, resp.Status)
		return reply, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonInternal, err)
	}
	if err := cbor.Unmarshal(resp.Body, &reply); err != nil {
		return reply, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
	}
	return reply, nil
}

// ProbePath is the path at which daemons see whether they reach each other.
const ProbePath = "/v1/probe"

// probeTimeout bounds a probe: a way of 20 ms twice for a new connection, and a busy processor.
const probeTimeout = 300 * tiller.Millis(1)

// probe feeds whether another daemon can be reached over a new connection.
func (x *Executor) probe(m cataloger.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	_, failure := x.client.Do(ctx, forwarder.Request{
		Address: m.Address, Key: ProbePath, Method: http.MethodGet, URI: ProbePath, Host: m.Address, Header: http.Header{},
	})
	x.Step(gatherer.PeerProbed{Member: m, Reached: failure == nil})
}
