package receiver

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is included because the
// sender of the forwarded message sets it itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// endToEndHeaders returns the headers to forward: all except hopByHopHeaders and those that the Connection
// header names.
func endToEndHeaders(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
