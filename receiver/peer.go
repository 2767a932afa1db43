package receiver

import (
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

const (
	// maxSubQueryBytes bounds a sub-query: a client's body in it is bounded too.
	maxSubQueryBytes = 4 << 20
	// confirmationTimeout bounds the wait for a sub-query and its confirmation, longer than the asking
	// daemon waits for the reply.
	confirmationTimeout = 40 * time.Second
)

// ServeSubQuery serves the sub-query of another daemon.
func (h *Receiver) ServeSubQuery(w http.ResponseWriter, r *http.Request) {
	connection := http.NewResponseController(w)
	body, err := readSubQuery(connection, r)
	if err != nil {
		http.Error(w, "the sub-query cannot be read", http.StatusBadRequest)
		return
	}
	var m executor.SubQuery
	if err := cbor.Unmarshal(body, &m); err != nil {
		http.Error(w, "the sub-query cannot be decoded", http.StatusBadRequest)
		return
	}
	if m.Request.Header == nil {
		m.Request.Header = make(http.Header)
	}
	// The header tells the asking daemon that this one is at work. A daemon that stood still meanwhile
	// finds that the other has gone, and must send nothing.
	// Nil values leave out headers that daemons do not read.
	w.Header()["Content-Type"], w.Header()["Date"] = nil, nil
	if err := connection.Flush(); err != nil || hasLeft(r.Context()) {
		return
	}
	t := h.executor.SubmitSub(m.Request, gatherer.SubQueryArrived{SubQuery: m.Terms})
	go h.awaitConfirmation(r.Body, t)
	select {
	case o := <-t.Done:
		writeSubReply(w, o)
	case <-r.Context().Done():
		h.executor.Abandon(t)
	}
}

// readSubQuery reads the body without its last byte, which the asking daemon sends once it has seen
// the header of the answer.
func readSubQuery(connection *http.ResponseController, r *http.Request) ([]byte, error) {
	if r.ContentLength < 1 || r.ContentLength > maxSubQueryBytes {
		return nil, errors.Errorf("its length is %d", r.ContentLength)
	}
	// The server would otherwise wait for the whole body before it writes.
	if err := connection.EnableFullDuplex(); err != nil {
		return nil, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(confirmationTimeout)); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength-1)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// awaitConfirmation waits for the last byte of the body. A connection that ends before it is that of
// a daemon that has gone.
func (h *Receiver) awaitConfirmation(body io.Reader, t *executor.Ticket) {
	if _, err := io.ReadFull(body, make([]byte, 1)); err != nil {
		h.executor.Abandon(t)
		return
	}
	h.executor.Confirm(t)
}

// writeSubReply writes the reply; a query that was refused has none of its shards.
func writeSubReply(w http.ResponseWriter, o executor.Outcome) {
	reply := gatherer.SubReply{NoCapacity: true}
	if o.Sub != nil {
		reply = *o.Sub
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		// The other daemon takes the connection's end for a failure.
		panic(http.ErrAbortHandler)
	}
	// The asking daemon has gone when this fails; its context ends too.
	_, _ = w.Write(body)
}
