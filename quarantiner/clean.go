package quarantiner

import tiller "github.com/carawaytiller/carawaytiller"

// cleanSet holds at most limit digests, each for EntryTTLMillis. It has two generations: when the current one
// holds limit/2 digests, the next add discards the previous one and starts a new one.
type cleanSet struct {
	limit    int
	current  map[uint64]tiller.Millis
	previous map[uint64]tiller.Millis
}

func newCleanSet(limit int) *cleanSet {
	return &cleanSet{limit: max(limit, 2), current: make(map[uint64]tiller.Millis)}
}

func (c *cleanSet) has(now tiller.Millis, digest uint64) bool {
	until, ok := c.current[digest]
	if !ok {
		until, ok = c.previous[digest]
	}
	return ok && now < until
}

func (c *cleanSet) add(now tiller.Millis, digest uint64) {
	if len(c.current) >= c.limit/2 {
		c.previous = c.current
		c.current = make(map[uint64]tiller.Millis)
	}
	c.current[digest] = now + EntryTTLMillis
}

func (c *cleanSet) remove(digest uint64) {
	delete(c.current, digest)
	delete(c.previous, digest)
}
