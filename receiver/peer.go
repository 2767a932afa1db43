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

// maxSubQueryBytes bounds an encoded sub-query, which contains the client's body. That body has a limit of its own.
const maxSubQueryBytes = 4 << 20

// subQueryResponseHeader is the header of the response to a sub-query. It is sent before gathering starts.
const subQueryResponseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// ServeSubQuery serves the sub-queries that another daemon sends sequentially over one connection. The
// response header signals that the sub-query was accepted. The other daemon sends one byte to confirm that
// it saw the header before it sent the sub-query to a different daemon. The connection is hijacked from
// the server because that byte may arrive before, while or after the rest of the response is written.
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

// readSubQuery decodes a sub-query from the body of a request.
func readSubQuery(r *http.Request) (executor.SubQuery, error) {
	var m executor.SubQuery
	body, err := io.ReadAll(io.LimitReader(r.Body, maxSubQueryBytes))
	if err != nil {
		return m, errors.Wrap(err, "read sub-query")
	}
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, errors.Wrap(err, "decode sub-query")
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

// serve gathers one sub-query. After an error the connection must not be used again.
func (p *peerConnection) serve(m executor.SubQuery) error {
	if _, err := p.conn.Write([]byte(subQueryResponseHeader)); err != nil {
		return err
	}
	// If this daemon was suspended, the other may have closed the connection and replaced the sub-query. In
	// that case no upstream request may be sent.
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
	if writeErr := <-written; writeErr != nil {
		return writeErr
	}
	return err
}

// confirmAndAwaitNext waits for the confirmation byte, confirms the sub-query, and returns when the first byte
// of the next one arrives. It returns an error when the connection has closed.
func (p *peerConnection) confirmAndAwaitNext(x *executor.Executor, t *executor.QueryHandle) error {
	if _, err := p.reader.ReadByte(); err != nil {
		return err
	}
	x.Confirm(t)
	_, err := p.reader.Peek(1)
	return err
}

// readNext reads the next sub-query from the connection.
func (p *peerConnection) readNext() (executor.SubQuery, error) {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return executor.SubQuery{}, err
	}
	return readSubQuery(r)
}

// writeReply writes the body of the response. For a refused sub-query it replies NoCapacity.
func (p *peerConnection) writeReply(o executor.Outcome) error {
	reply := gatherer.SubReply{NoCapacity: true}
	if o.SubReply != nil {
		reply = *o.SubReply
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		// The other daemon treats a closed connection as a failure.
		_ = p.conn.Close()
		return errors.Wrap(err, "encode sub-query reply")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	_, err = p.conn.Write(b.Bytes())
	return err
}
