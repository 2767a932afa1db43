package faker

import tiller "github.com/carawaytiller/carawaytiller"

// coldStart is the period after a start during which an upstream can run only a few requests concurrently.
type coldStart struct {
	// slots is the number of requests that may run concurrently; 0 disables the cold start.
	slots int
	// requests is the number of completed requests that ends the cold start; 0 means that requests don't end it.
	requests int
	// millis is the duration after which the cold start ends; 0 means that time doesn't end it.
	// When requests and millis are both 0 there is no cold start.
	millis tiller.Millis

	since     tiller.Millis
	completed int
	// running is the number of requests that started during a cold start and are still running.
	running int
}

// restart begins a cold start at now. Requests still running from an earlier cold start keep counting in running.
func (c *coldStart) restart(now tiller.Millis) {
	c.since = now
	c.completed = 0
}

// isCold reports whether the cold start is still in progress at now.
func (c *coldStart) isCold(now tiller.Millis) bool {
	if c.slots == 0 || c.requests == 0 && c.millis == 0 {
		return false
	}
	warmByRequests := c.requests > 0 && c.completed >= c.requests
	warmByTime := c.millis > 0 && now-c.since >= c.millis
	return !warmByRequests && !warmByTime
}

// begin counts a request that starts during the cold start and reports whether it is within the slots.
func (c *coldStart) begin() bool {
	c.running++
	return c.running <= c.slots
}
