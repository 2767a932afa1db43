package server

import (
	"log"
	"net/http"
	"strings"

	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// readHeaderMillis bounds the arrival of a header, idleMillis the life of a connection without requests.
	headerTimeoutMillis = 5 * tiller.Second
	idleTimeoutMillis   = tiller.Minute
	// refusedHeaderBytes is the size up to which a header is read so that it can be refused with a body.
	maxReadHeaderBytes = 5 << 18
)

// NewHTTP returns an HTTP server for a handler of this package, over HTTP/1.1 and HTTP/2 cleartext.
// Bodies and responses are bounded by the handler, which knows when their time begins.
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

// logWriter writes the lines of net/http to a logger.
type logWriter struct {
	logger logr.Logger
}

func (w logWriter) Write(line []byte) (int, error) {
	w.logger.Info("http server", "Line", strings.TrimSpace(string(line)))
	return len(line), nil
}
