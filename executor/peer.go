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

// GatherPath is the URL path at which daemons accept sub-queries from other daemons.
const GatherPath = "/v1/gather"

// SubQuery is the message by which one daemon requests that another gather a subset of the shards.
type SubQuery struct {
	_       struct{} `cbor:",toarray"`
	Request Request
	Terms   gatherer.SubQuery
}

// subQueryGrace is the time after the deadline of a sub-query at which its connection is closed.
const subQueryGrace = 60 * tiller.Millis(1)

// sendSubQuery sends a sub-query to another daemon in a new goroutine.
func (x *Executor) sendSubQuery(e gatherer.SendSubQuery) {
	t := x.pending[e.Query]
	message := SubQuery{Request: t.request, Terms: e.SubQuery}
	ctx := x.attemptContext(e.Attempt, e.Timeout+subQueryGrace)
	go func() {
		onAccepted := func(confirm func()) { x.subQueryAccepted(e.Attempt, confirm) }
		reply, failure := x.exchangeSubQuery(ctx, e.Member.Address, message, onAccepted)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.releaseAttempt(e.Attempt)
		delete(x.confirmFuncs, e.Attempt)
		x.step(gatherer.SubQueryEnded{Attempt: e.Attempt, Failure: failure, Reply: reply})
	}()
}

// subQueryAccepted processes the acceptance of a sub-query by another daemon, and keeps confirm, which
// tells that daemon that its acceptance was seen.
func (x *Executor) subQueryAccepted(attempt uint64, confirm func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirmFuncs[attempt] = confirm
	x.step(gatherer.SubQueryAccepted{Attempt: attempt})
}

// confirmSubQuery executes gatherer.ConfirmSubQuery. The write does not block: it is one byte, and the send buffer
// of the connection is empty at that time.
func (x *Executor) confirmSubQuery(attempt uint64) {
	if confirm, ok := x.confirmFuncs[attempt]; ok {
		delete(x.confirmFuncs, attempt)
		confirm()
	}
}

// peerKeepAlive is how long an idle connection to another daemon is kept. Daemons do not close idle
// connections of their peers, and in a large fleet two daemons may exchange no sub-query for that long.
const peerKeepAlive = 2 * tiller.Minute

// gatherRequest returns a sub-query request without its body.
func gatherRequest(address string) forwarder.Request {
	return forwarder.Request{
		Address: address, Key: GatherPath, Method: http.MethodPost, URI: GatherPath, Host: address,
		Header: http.Header{}, KeepAlive: peerKeepAlive,
	}
}

func (x *Executor) exchangeSubQuery(ctx context.Context, address string, message SubQuery, onAccepted func(confirm func())) (gatherer.SubReply, *tiller.Failure) {
	var reply gatherer.SubReply
	body, err := cbor.Marshal(message)
	if err != nil {
		return reply, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, err)
	}
	r := gatherRequest(address)
	r.Body, r.OnAccepted = body, onAccepted
	resp, failure := x.client.Do(ctx, r)
	if failure != nil {
		return reply, failure
	}
	if resp.Status != http.StatusOK {
		err := errors.Errorf("daemon at %s answered the sub-query with status %d, want 200", address, resp.Status)
		return reply, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonInternal, err)
	}
	if err := cbor.Unmarshal(resp.Body, &reply); err != nil {
		return reply, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, err)
	}
	return reply, nil
}

// ProbePath is the URL path that daemons request to check whether they can reach each other.
const ProbePath = "/v1/probe"

// probeTimeout bounds a probe. It allows for a network latency of 20 ms, incurred twice because the
// connection is new, and for a busy processor.
const probeTimeout = 300 * tiller.Millis(1)

// probePeer checks whether another daemon can be reached over a new connection, and feeds in the result.
func (x *Executor) probePeer(m cataloger.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	_, failure := x.client.Do(ctx, forwarder.Request{
		Address: m.Address, Key: ProbePath, Method: http.MethodGet, URI: ProbePath, Host: m.Address, Header: http.Header{},
	})
	x.Step(gatherer.PeerProbed{Member: m, Reached: failure == nil})
}
