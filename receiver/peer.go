package receiver

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// maxSubQueryBytes bounds a sub-query: a client's body in it is bounded too.
const maxSubQueryBytes = 4 << 20

// ServeSubQuery serves the sub-query of another daemon.
func (h *Receiver) ServeSubQuery(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSubQueryBytes))
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
	if err := http.NewResponseController(w).Flush(); err != nil || hasLeft(r.Context()) {
		return
	}
	t := h.executor.SubmitSub(m.Request, gatherer.SubQueryArrived{SubQuery: m.Terms})
	select {
	case o := <-t.Done:
		writeSubReply(w, o)
	case <-r.Context().Done():
		h.executor.Abandon(t)
	}
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
