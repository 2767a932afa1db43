package faker

import tiller "github.com/carawaytiller/carawaytiller"

// coldStart is the time after a start during which an upstream bears few requests at once.
type coldStart struct {
	// slots is the number of requests borne at once; 0 means that there is no cold start.
	slots int
	// requests is the number of completed requests that ends the cold start; 0 means that they don't end it.
	requests int
	// millis is the time that ends the cold start; 0 means that time doesn't end it.
	millis tiller.Millis

	since     tiller.Millis
	completed int
	// running counts the requests that started during the cold start and still run.
	running int
}

// restart begins the cold start at now. Requests of an earlier cold start that still run keep counting.
func (c *coldStart) restart(now tiller.Millis) {
	c.since = now
	c.completed = 0
}

// isCold reports whether the cold start lasts at now.
func (c *coldStart) isCold(now tiller.Millis) bool {
	if c.slots == 0 || c.requests == 0 && c.millis == 0 {
		return false
	}
	warmByRequests := c.requests > 0 && c.completed >= c.requests
	warmByTime := c.millis > 0 && now-c.since >= c.millis
	return !warmByRequests && !warmByTime
}

// begin counts a request that starts during the cold start and reports whether it is borne.
func (c *coldStart) begin() bool {
	c.running++
	return c.running <= c.slots
}
