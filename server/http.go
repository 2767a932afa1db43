package server

import (
	"log"
	"net/http"
	"strings"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// headerTimeoutMillis bounds the time to receive a header, idleTimeoutMillis the time for which a connection
	// without requests stays open.
	headerTimeoutMillis = 5 * tiller.Second
	idleTimeoutMillis   = tiller.Minute
	// maxReadHeaderBytes (1.25 MiB) is the limit of net/http for a header. It is above maxHeaderBytes, so that
	// a header between the two limits is read and gets a refusal with a body.
	maxReadHeaderBytes = 5 << 18
)

// NewHTTP returns an HTTP server for a handler of this package, over HTTP/1.1 and unencrypted HTTP/2.
// It sets no timeouts for bodies and responses: the handler does, from the start of the request and of the response.
func NewHTTP(handler http.Handler, logger logr.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeoutMillis.Duration(),
		IdleTimeout:       idleTimeoutMillis.Duration(),
		MaxHeaderBytes:    maxReadHeaderBytes,
		ErrorLog:          log.New(logWriter{logger}, "", 0),
	}
}

// logWriter passes the error log lines of net/http to a logger.
type logWriter struct {
	logger logr.Logger
}

func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Info("http server reported an error", "Line", strings.TrimSpace(string(line)))
	return len(line), nil
}
