// Package receiver accepts client requests and sub-queries of other daemons over HTTP/1.1, submits them to
// the executor, and responds with a status that tells whether the request may have run.
package receiver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// defaultMaxBodyBytes bounds a request body while no limit is configured.
const defaultMaxBodyBytes = 1 << 20

// Codec translates client request and response headers.
type Codec struct {
	// RequestID returns the request ID that the client sent, or "".
	RequestID func(http.Header) string
	// Deadline returns how long the client waits, and false if the client sent no deadline.
	Deadline func(http.Header) (tiller.Millis, bool)
	// SetGathered sets the headers of a response that was gathered from several shards.
	SetGathered func(h http.Header, stamps []string, missing int)
}

// Receiver serves client requests and sub-queries. It implements http.Handler for client requests.
type Receiver struct {
	executor *executor.Executor
	codec    Codec
	account  *accountant.Account
	// limits returns the currently configured limits.
	limits             func() cataloger.Limits
	onReject           func(tiller.Reason)
	keepAlivesDisabled atomic.Bool
	rebalancing        rebalancing
}

// New returns a Receiver. Answers are held in account while they are written. onReject is called for each request that
// is refused before it is submitted.
func New(x *executor.Executor, codec Codec, account *accountant.Account, limits func() cataloger.Limits, onReject func(tiller.Reason)) *Receiver {
	return &Receiver{executor: x, codec: codec, account: account, limits: limits, onReject: onReject}
}

// DisableKeepAlives makes each connection close after its next response. It may be called concurrently with
// ServeHTTP.
func (h *Receiver) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// ServeHTTP serves one client request. It abandons the query if the client disconnects.
func (h *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.keepAlivesDisabled.Load() || h.isRebalanced(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	id := h.codec.RequestID(r.Header)
	if id == "" {
		h.reject(w, http.StatusBadRequest, tiller.ReasonBadRequest)
		return
	}
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	completeMessage(r.Context())
	path, _, _ := strings.Cut(r.RequestURI, "?")
	deadline, _ := h.codec.Deadline(r.Header)
	t := h.executor.Submit(executor.Request{
		ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: endToEndHeaders(r.Header), Body: body,
	}, gatherer.QueryArrived{
		Host: r.Host, Path: path, Deadline: deadline, NewConnection: isFirst(r.Context()),
	})
	select {
	case o := <-t.Done:
		h.writeOutcome(w, o)
	case <-r.Context().Done():
		h.executor.Abandon(t)
	}
}

// readBody reads the whole request body before the query starts, so that nothing runs for a client that
// aborts its request. On failure it rejects the request and returns false.
func (h *Receiver) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := h.limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.reject(w, http.StatusRequestEntityTooLarge, tiller.ReasonTooLarge)
	case err != nil:
		w.Header().Set("Connection", "close")
		h.reject(w, http.StatusRequestTimeout, tiller.ReasonTooSlow)
	}
	return body, err == nil
}

func (h *Receiver) reject(w http.ResponseWriter, status int, reason tiller.Reason) {
	h.onReject(reason)
	writeRefusal(w, status, tiller.NotRun, reason)
}

func (h *Receiver) writeOutcome(w http.ResponseWriter, o executor.Outcome) {
	switch {
	case o.PassedThrough != nil:
		h.writePassedThrough(w, o.PassedThrough)
	case o.Gathered != nil:
		h.codec.SetGathered(w.Header(), o.Gathered.Stamps, o.Gathered.Missing)
		writeBody(w, http.StatusOK, "application/octet-stream", o.Gathered.Records)
		h.executor.Step(gatherer.AnswerWritten{Due: o.Gathered.Due})
	case o.Refused != nil:
		if o.Refused.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(float64(o.Refused.RetryAfter)/1000, 'f', -1, 64))
		}
		writeRefusal(w, statusOf(o.Refused), o.Refused.Verdict, o.Refused.Reason)
	}
}

// statusOf returns the HTTP status of a refusal. 404 and 503 mean that the request did not run, 502 and 504 that
// it may have run.
func statusOf(r *gatherer.Refuse) int {
	switch {
	case r.Reason == tiller.ReasonUnknownRoute:
		return http.StatusNotFound
	case r.Verdict == tiller.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == tiller.ReasonTimeout || r.Reason == tiller.ReasonCoverageTooLow:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writePassedThrough writes the response of an upstream. If its memory is needed for others, the write is aborted, so a
// client that reads slowly cannot hold a large response.
func (h *Receiver) writePassedThrough(w http.ResponseWriter, resp *forwarder.Response) {
	held := h.account.Open(func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) })
	defer held.Release()
	held.AddHeld(int64(len(resp.Body)))
	header := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value stops net/http from detecting a Content-Type that the upstream did not send.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	// If the write fails, the client has disconnected, and the request context is cancelled too.
	_, _ = w.Write(resp.Body)
}

func writeRefusal(w http.ResponseWriter, status int, verdict tiller.Verdict, reason tiller.Reason) {
	// Encoding strings cannot fail.
	body, _ := json.Marshal(struct {
		Verdict string
		Reason  tiller.Reason
	}{verdict.String(), reason})
	writeBody(w, status, "application/json", body)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
