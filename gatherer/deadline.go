package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// answerMarginMillis is reserved for the network time from the client and back (3 ms each in the users'
	// deployments), for assembling the answer on the smallest VMs and for late timers.
	answerMarginMillis = 13 * tiller.Millis(1)
	// newConnectionMillis is also reserved if the client first had to open its connection.
	newConnectionMillis = 7
	// endMarginMillis is reserved so that a refusal reaches the client before it gives up: the network time of
	// the request and of the answer, and late timers.
	endMarginMillis = 20
	// deadlineValues bounds the number of different deadlines that are counted for a route.
	deadlineValues = 16
)

// commonDeadline determines the deadline that clients of a route use for first requests, as the most frequent
// one. A request with a shorter deadline is treated as a retry, whose client has already waited.
type commonDeadline struct {
	counts map[tiller.Millis]int
	common tiller.Millis
}

// waited counts the deadline of a request and returns the time that its client has already waited.
func (d *commonDeadline) waited(deadline tiller.Millis) tiller.Millis {
	if len(d.counts) >= deadlineValues {
		d.counts = map[tiller.Millis]int{d.common: d.counts[d.common]}
	}
	d.counts[deadline]++
	if d.counts[deadline] > d.counts[d.common] {
		d.common = deadline
	}
	return max(d.common-deadline, 0)
}

// setTimes sets answerBy and expiresAt of a query from the target and the timeout of its route and the deadline
// of the client.
func (s *State) setTimes(q *query, e QueryArrived) {
	wait := q.route.Timeout
	var waited tiller.Millis
	if e.Deadline > 0 {
		d, ok := s.commonDeadlines[q.route.Name]
		if !ok {
			d = &commonDeadline{counts: make(map[tiller.Millis]int)}
			s.commonDeadlines[q.route.Name] = d
		}
		waited = d.waited(e.Deadline)
		if wait <= 0 || e.Deadline < wait {
			wait = e.Deadline
		}
	}
	if wait <= 0 {
		wait = 30 * tiller.Second
	}
	q.expiresAt = q.arrived + max(wait-endMarginMillis, 1)
	margin := answerMarginMillis + s.lateness.margin(q.arrived)
	if e.NewConnection {
		margin += newConnectionMillis
	}
	target := q.route.Target
	if target <= 0 {
		target = wait
	}
	// A retry that comes too late for the target still gets half of it to gather shards.
	q.answerBy = min(q.arrived+max(target-waited-margin, target/2), q.expiresAt)
}
