package receiver

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders concern one connection only. Content-Length is set anew by the writer of a message.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// endToEndHeaders returns the headers that are passed on.
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
