package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// maxSubQueryBytes bounds a sub-query: a client's body in it is bounded too.
const maxSubQueryBytes = 4 << 20

// subQueryResponseHeader begins the answer to a sub-query. It is sent before the sub-query is gathered.
const subQueryResponseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// ServeSubQuery serves the sub-queries that another daemon sends over one connection, one after the
// other. The header of the answer says that the sub-query was begun; the other daemon confirms by one
// byte that it has seen the header before it sent the sub-query elsewhere. The connection is taken
// over from the server, because that byte and the end of the answer may cross.
func (h *Receiver) ServeSubQuery(w http.ResponseWriter, r *http.Request) {
	message, err := readSubQuery(r)
	if err != nil {
		h.reject(w, http.StatusBadRequest, tiller.ReasonBadRequest)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.reject(w, http.StatusInternalServerError, tiller.ReasonInternal)
		return
	}
	defer func() { _ = conn.Close() }()
	p := &peerConnection{receiver: h, conn: conn, reader: buffered.Reader}
	for err == nil {
		if err = p.serve(message); err == nil {
			message, err = p.readNext()
		}
	}
}

// readSubQuery decodes the body of a request.
func readSubQuery(r *http.Request) (executor.SubQuery, error) {
	var m executor.SubQuery
	body, err := io.ReadAll(io.LimitReader(r.Body, maxSubQueryBytes))
	if err != nil {
		return m, errors.Wrap(err, "read the sub-query")
	}
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, errors.Wrap(err, "decode the sub-query")
	}
	if m.Request.Header == nil {
		m.Request.Header = make(http.Header)
	}
	return m, nil
}

// peerConnection is a connection over which another daemon sends sub-queries.
type peerConnection struct {
	receiver *Receiver
	conn     net.Conn
	reader   *bufio.Reader
}

// serve gathers one sub-query. An error means that the connection is of no use any more.
func (p *peerConnection) serve(m executor.SubQuery) error {
	if _, err := p.conn.Write([]byte(subQueryResponseHeader)); err != nil {
		return err
	}
	// A daemon that stood still meanwhile finds that the other has gone, and must send nothing.
	if forwarder.IsClosed(p.conn) {
		return io.EOF
	}
	x := p.receiver.executor
	t := x.SubmitSub(m.Request, gatherer.SubQueryArrived{SubQuery: m.Terms})
	written := make(chan error, 1)
	go func() { written <- p.writeReply(<-t.Done) }()
	err := p.confirmAndAwaitNext(x, t)
	if err != nil {
		x.Abandon(t)
	}
	if failed := <-written; failed != nil {
		return failed
	}
	return err
}

// confirmAndAwaitNext confirms the sub-query and returns when the next one begins, or with an error when the
// connection has ended.
func (p *peerConnection) confirmAndAwaitNext(x *executor.Executor, t *executor.QueryHandle) error {
	if _, err := p.reader.ReadByte(); err != nil {
		return err
	}
	x.Confirm(t)
	_, err := p.reader.Peek(1)
	return err
}

// readNext reads the readNext sub-query.
func (p *peerConnection) readNext() (executor.SubQuery, error) {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return executor.SubQuery{}, err
	}
	return readSubQuery(r)
}

// writeReply writes the end of the answer. A query that was refused has none of its shards.
func (p *peerConnection) writeReply(o executor.Outcome) error {
	reply := gatherer.SubReply{NoCapacity: true}
	if o.SubReply != nil {
		reply = *o.SubReply
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		// The other daemon takes the connection's end for a failure.
		_ = p.conn.Close()
		return errors.Wrap(err, "encode the reply")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	_, err = p.conn.Write(b.Bytes())
	return err
}
