package receiver

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection only. Content-Length is set anew by the writer of a message.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
