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
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// maxSubQueryBytes bounds an encoded sub-query, which contains the client's body. That body has a limit of its own.
const maxSubQueryBytes = 4 << 20

// subQueryResponseHeader returns the header of the response to a sub-query. It is sent before gathering starts.
func subQueryResponseHeader(inParts bool) []byte {
	header := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	if inParts {
		header += executor.PartsHeader + ": 1\r\n"
	}
	return []byte(header + "\r\n")
}

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
	inParts := r.Header.Get(executor.PartsHeader) != ""
	for err == nil {
		accountant.Complete(conn)
		if err = p.serve(message, inParts); err == nil {
			accountant.Finish(conn)
			message, inParts, err = p.readNext()
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
func (p *peerConnection) serve(m executor.SubQuery, inParts bool) error {
	if _, err := p.conn.Write(subQueryResponseHeader(inParts)); err != nil {
		return err
	}
	// If this daemon was suspended, the other may have closed the connection and replaced the sub-query. In
	// that case no upstream request may be sent.
	if forwarder.IsClosed(p.conn) {
		return io.EOF
	}
	x := p.receiver.executor
	t := x.SubmitSub(m.Request, gatherer.SubQueryArrived{SubQuery: m.Terms, InParts: inParts})
	written := make(chan error, 1)
	go func() { written <- p.writeReply(t, inParts) }()
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
func (p *peerConnection) readNext() (m executor.SubQuery, inParts bool, err error) {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return m, false, err
	}
	m, err = readSubQuery(r)
	return m, r.Header.Get(executor.PartsHeader) != "", err
}

// writeReply writes the body of the response, in parts if inParts is true. For a refused sub-query it replies
// NoCapacity.
func (p *peerConnection) writeReply(t *executor.QueryHandle, inParts bool) error {
	var o executor.Outcome
	var part *gatherer.SubReply
	select {
	case r := <-t.Part:
		part = &r
	case o = <-t.Done:
		select {
		case r := <-t.Part:
			part = &r
		default:
		}
	}
	if part != nil {
		if err := p.writeChunk(executor.NewReplyFrame(false, *part), ""); err != nil {
			return err
		}
	}
	if o == (executor.Outcome{}) {
		o = <-t.Done
	}
	reply := gatherer.SubReply{NoCapacity: true}
	if o.SubReply != nil {
		reply = *o.SubReply
	}
	if !inParts {
		return p.writeChunk(reply, lastChunk)
	}
	return p.writeChunk(executor.NewReplyFrame(true, reply), lastChunk)
}

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// writeChunk writes the encoding of v as one chunk, followed by the end of the body if it is the last one.
func (p *peerConnection) writeChunk(v any, end string) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		// The other daemon treats a closed connection as a failure.
		_ = p.conn.Close()
		return errors.Wrap(err, "encode sub-query reply")
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%x\r\n%s\r\n%s", len(body), body, end)
	_, err = p.conn.Write(b.Bytes())
	return err
}
