package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// maxCallerBytes bounds the body of a caller's request.
	maxCallerBytes = 1 << 20
	// maxOperatorBytes bounds the body of an operator's request. It leaves room for a document of 1,000,000
	// characters, which grows when it is escaped in a JSON string.
	maxOperatorBytes = 4 << 20
	// maxHeaderBytes bounds the header of a request. A larger header, up to maxReadHeaderBytes, gets a refusal with a body.
	maxHeaderBytes = 64 << 10
	// bodyTimeoutMillis bounds the time to receive a body, writeTimeoutMillis the time to write a response.
	bodyTimeoutMillis  = 10 * tiller.Second
	writeTimeoutMillis = 30 * tiller.Second
)

// arrivalTimeKey is the context key of the time at which a request arrived.
type arrivalTimeKey struct{}

// responseHeaderKey is the context key of the response header.
type responseHeaderKey struct{}

// middleware wraps a generated server. It serves the health and metrics pages, limits the sizes of header and body
// and the times to read and write them, and refuses requests that exceed a limit or have an incomplete body.
type middleware struct {
	pages    pages
	clock    tiller.Clock
	maxBytes int64
	// bodyReadMillis bounds the time to receive a body.
	bodyReadMillis tiller.Millis
	// stopping reports whether the daemon is stopping. Each connection is then closed after its next response.
	stopping func() bool
	// refuse writes a refusal with the verdict NotRun.
	refuse func(w http.ResponseWriter, status int, detail string)
	next   http.Handler
}

// ServeHTTP checks the limits, and then serves a page or passes the request with its whole body to next.
func (m *middleware) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := m.clock.Now()
	w = &writeDeadlineWriter{ResponseWriter: w}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(m.bodyReadMillis.Duration()))
	if m.stopping() {
		w.Header().Set("Connection", "close")
	}
	if headerBytes(r) > maxHeaderBytes {
		m.refuse(w, http.StatusRequestHeaderFieldsTooLarge, "the header is larger than 64 KiB")
		return
	}
	if page := m.pages.handlerFor(r.URL.Path); page != nil {
		m.servePage(w, r, page)
		return
	}
	body, status, err := m.readBody(w, r)
	if err != nil {
		m.refuse(w, status, err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	ctx := context.WithValue(r.Context(), arrivalTimeKey{}, arrived)
	ctx = context.WithValue(ctx, responseHeaderKey{}, w.Header())
	m.next.ServeHTTP(w, r.WithContext(ctx))
}

func (m *middleware) servePage(w http.ResponseWriter, r *http.Request, page func(http.ResponseWriter)) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		m.notAllowed(w, r, "GET, HEAD")
		return
	}
	page(w)
}

// readBody reads the whole body and then clears the read deadline. net/http keeps reading from the connection to
// detect that the client has disconnected; an expired read deadline would look the same to it and cancel the request.
// When the body cannot be read in full the deadline stays, because net/http reads the rest of the body
// before it responds and would otherwise wait for it forever.
func (m *middleware) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, m.maxBytes))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, 0, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, errors.New("the body took too long to arrive")
	}
	return nil, http.StatusBadRequest, errors.New("the body is truncated")
}

func (m *middleware) notFound(w http.ResponseWriter, _ *http.Request) {
	m.refuse(w, http.StatusNotFound, "there is nothing at this path")
}

func (m *middleware) notAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	m.refuse(w, http.StatusMethodNotAllowed, "method "+r.Method+" is not allowed here")
}

// headerBytes returns the size of a request's target and header fields, without separators and line ends.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for key, values := range r.Header {
		for _, v := range values {
			n += len(key) + len(v)
		}
	}
	return n
}

// arrivalOf returns the time at which a request arrived.
func arrivalOf(ctx context.Context) tiller.Millis {
	return ctx.Value(arrivalTimeKey{}).(tiller.Millis)
}

// writeDeadlineWriter bounds the time to write a response, counted from the call of WriteHeader.
type writeDeadlineWriter struct {
	http.ResponseWriter
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *writeDeadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader sets the write deadline and writes the header.
func (w *writeDeadlineWriter) WriteHeader(status int) {
	control := http.NewResponseController(w.ResponseWriter)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeoutMillis.Duration()))
	w.ResponseWriter.WriteHeader(status)
}
