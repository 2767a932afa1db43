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
	t := h.executor.SubmitSub(m.Request, gatherer.SubQueryArrived{
		Route: m.Route, Shards: m.Shards, TopK: m.TopK, Attempts: m.Attempts, Extra: m.Extra, Avoid: m.Avoid, Regions: m.Regions,
		MaySkip: m.MaySkip, Within: m.Within, Left: m.Left,
	})
	select {
	case o := <-t.Done:
		writeSubReply(w, o)
	case <-r.Context().Done():
		h.executor.Abandon(t)
	}
}

func writeSubReply(w http.ResponseWriter, o executor.Outcome) {
	if o.Sub == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := cbor.Marshal(o.Sub)
	if err != nil {
		http.Error(w, "the reply cannot be encoded", http.StatusInternalServerError)
		return
	}
	writeBody(w, http.StatusOK, "application/cbor", body)
}
