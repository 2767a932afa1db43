package quarantiner

import (
	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Digest returns a hash of a request's service, route and body.
func Digest(q tiller.Query) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(q.Service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(q.Route)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(q.Body)
	return h.Sum64()
}
