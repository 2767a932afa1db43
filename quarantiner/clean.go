package quarantiner

import tiller "github.com/carawaytiller/carawaytiller"

// cleanSet remembers digests for HoldMillis, at most limit of them. It has two generations:
// when the newer one is half full, the older one is forgotten as a whole.
type cleanSet struct {
	limit  int
	recent map[uint64]tiller.Millis
	older  map[uint64]tiller.Millis
}

func newCleanSet(limit int) *cleanSet {
	return &cleanSet{limit: max(limit, 2), recent: make(map[uint64]tiller.Millis)}
}

func (c *cleanSet) has(now tiller.Millis, digest uint64) bool {
	until, ok := c.recent[digest]
	if !ok {
		until, ok = c.older[digest]
	}
	return ok && now < until
}

func (c *cleanSet) add(now tiller.Millis, digest uint64) {
	if len(c.recent) >= c.limit/2 {
		c.older = c.recent
		c.recent = make(map[uint64]tiller.Millis)
	}
	c.recent[digest] = now + HoldMillis
}

func (c *cleanSet) remove(digest uint64) {
	delete(c.recent, digest)
	delete(c.older, digest)
}
