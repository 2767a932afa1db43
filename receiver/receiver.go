// Package receiver takes requests of clients and sub-queries of other daemons over HTTP/1.1,
// has them served, and answers them with a status that says whether they may have run.
package receiver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// defaultMaxBodyBytes bounds a body before a configuration is known.
const defaultMaxBodyBytes = 1 << 20

// Codec translates the headers of clients.
type Codec struct {
	// RequestID returns the client's identifier of a request, or "".
	RequestID func(http.Header) string
	// Deadline returns the time that the client waits; false when it names none.
	Deadline func(http.Header) (tiller.Millis, bool)
	// SetGathered sets the headers of an answer made of parts.
	SetGathered func(h http.Header, stamps []string, missing int)
}

// Receiver serves clients. It is an http.Handler.
type Receiver struct {
	executor *executor.Executor
	codec    Codec
	// limits returns the limits in force.
	limits             func() cataloger.Limits
	onReject           func(tiller.Reason)
	keepAlivesDisabled atomic.Bool
}

// New returns a Receiver. refused is told of requests that are refused before they are submitted.
func New(x *executor.Executor, codec Codec, limits func() cataloger.Limits, refused func(tiller.Reason)) *Receiver {
	return &Receiver{executor: x, codec: codec, limits: limits, onReject: refused}
}

// DisableKeepAlives makes each connection end with its next answer.
func (h *Receiver) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// ServeHTTP serves one request.
func (h *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.keepAlivesDisabled.Load() {
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

// readBody reads the whole body, so that nothing runs for a client that breaks off.
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
		writePassedThrough(w, o.PassedThrough)
	case o.Gathered != nil:
		h.codec.SetGathered(w.Header(), o.Gathered.Stamps, o.Gathered.Missing)
		writeBody(w, http.StatusOK, "application/octet-stream", o.Gathered.Records)
	case o.Refused != nil:
		if o.Refused.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(float64(o.Refused.RetryAfter)/1000, 'f', -1, 64))
		}
		writeRefusal(w, statusOf(o.Refused), o.Refused.Verdict, o.Refused.Reason)
	}
}

// statusOf returns the status that says whether a refused request may have run.
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

func writePassedThrough(w http.ResponseWriter, resp *forwarder.Response) {
	header := w.Header()
	for name, values := range endToEndHeaders(resp.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the server from guessing a type that the upstream did not send.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	// The client has gone when the write fails; its context ends too.
	_, _ = w.Write(resp.Body)
}

func writeRefusal(w http.ResponseWriter, status int, verdict tiller.Verdict, reason tiller.Reason) {
	// Strings always encode.
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
