package receiver

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// maxReportBytes bounds an encoded report.
const maxReportBytes = 4 << 20

// ServeReport accepts the report of another daemon and replies with this daemon's own.
func (h *Receiver) ServeReport(w http.ResponseWriter, r *http.Request) {
	var report gatherer.Report
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReportBytes))
	if err == nil {
		err = cbor.Unmarshal(body, &report)
	}
	if err != nil || report.VM == "" {
		h.reject(w, http.StatusBadRequest, tiller.ReasonBadRequest)
		return
	}
	reply, err := cbor.Marshal(h.executor.ReceiveReport(report))
	if err != nil {
		h.reject(w, http.StatusInternalServerError, tiller.ReasonInternal)
		return
	}
	writeBody(w, http.StatusOK, "application/cbor", reply)
}
