package forwarder

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSentIDs is the number of requests for which a connection remembers their IDs.
const maxSentIDs = 16

// sentIDs holds the IDs of the last requests on a connection as hashes, because the strings would keep the headers
// of their requests in memory. The zero value is empty.
type sentIDs struct {
	hashes [maxSentIDs]uint64
	n      int
}

// add adds an ID in place of the oldest one. It ignores the empty ID.
func (s *sentIDs) add(id string) {
	if id == "" {
		return
	}
	s.hashes[s.n%maxSentIDs] = xxhash.Sum64String(id)
	s.n++
}

// contains reports whether an ID is among the last ones. The empty ID never is.
func (s *sentIDs) contains(id string) bool {
	return id != "" && slices.Contains(s.hashes[:min(s.n, maxSentIDs)], xxhash.Sum64String(id))
}
