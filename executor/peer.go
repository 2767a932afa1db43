package executor

import (
	"context"
	"io"
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

// PartsHeader is set on a sub-query if the requesting daemon accepts a reply in parts, and on a response that consists
// of them. Daemons of earlier versions send and expect one SubReply.
const PartsHeader = "Tiller-Parts"

// ReplyFrame is one part of the response to a sub-query.
type ReplyFrame struct {
	_ struct{} `cbor:",toarray"`
	// Last is false for the part that is sent ahead.
	Last    bool
	Reply   gatherer.SubReply
	Leaving []gatherer.Incarnation
}

// NewReplyFrame returns the frame of a reply.
func NewReplyFrame(last bool, r gatherer.SubReply) ReplyFrame {
	return ReplyFrame{Last: last, Reply: r, Leaving: r.Leaving}
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
		onPart := func(r gatherer.SubReply) { x.Step(gatherer.SubQueryPart{Attempt: e.Attempt, Reply: r}) }
		reply, failure := x.exchangeSubQuery(ctx, e.Member.Address, message, onAccepted, onPart)
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

func (x *Executor) exchangeSubQuery(ctx context.Context, address string, message SubQuery, onAccepted func(confirm func()), onPart func(gatherer.SubReply)) (gatherer.SubReply, *tiller.Failure) {
	var reply gatherer.SubReply
	body, err := cbor.Marshal(message)
	if err != nil {
		return reply, tiller.NewFailure(tiller.NotRun, tiller.ReasonInternal, err)
	}
	r := gatherRequest(address)
	r.Body, r.OnAccepted = body, onAccepted
	r.Header.Set(PartsHeader, "1")
	r.ReadBody = func(h http.Header, body io.Reader) (err error) {
		reply, err = readReply(h, body, onPart)
		return err
	}
	resp, failure := x.client.Do(ctx, r)
	defer resp.Holding.Release()
	if failure != nil {
		return reply, failure
	}
	if resp.Status != http.StatusOK {
		err := errors.Errorf("daemon at %s answered the sub-query with status %d, want 200", address, resp.Status)
		return reply, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonInternal, err)
	}
	return reply, nil
}

// readReply reads the response to a sub-query to its end. It calls onPart for the part that is sent ahead, as soon as
// that has arrived, and returns the last one.
func readReply(h http.Header, body io.Reader, onPart func(gatherer.SubReply)) (gatherer.SubReply, error) {
	decoder := cbor.NewDecoder(body)
	if h.Get(PartsHeader) == "" {
		var reply gatherer.SubReply
		if err := decoder.Decode(&reply); err != nil {
			return reply, errors.Wrap(err, "decode reply")
		}
		_, err := io.Copy(io.Discard, body)
		return reply, err
	}
	for {
		var frame ReplyFrame
		if err := decoder.Decode(&frame); err != nil {
			return gatherer.SubReply{}, errors.Wrap(err, "decode part of a reply")
		}
		frame.Reply.Leaving = frame.Leaving
		if frame.Last {
			_, err := io.Copy(io.Discard, body)
			return frame.Reply, err
		}
		onPart(frame.Reply)
	}
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
	resp, failure := x.client.Do(ctx, forwarder.Request{
		Address: m.Address, Key: ProbePath, Method: http.MethodGet, URI: ProbePath, Host: m.Address, Header: http.Header{},
	})
	resp.Holding.Release()
	x.Step(gatherer.PeerProbed{Member: m, Reached: failure == nil})
}
