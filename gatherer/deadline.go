package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// answerMarginMillis is kept for the way from the client and back, 3 ms each on the users' deployments,
	// for assembling the answer on the smallest VMs and for late timers.
	answerMarginMillis = 13
	// newConnectionMillis is the further time that the client has waited for its connection.
	newConnectionMillis = 7
	// endMarginMillis is kept so that a failure reaches the client before it gives up: the ways of
	// the request and of the answer, and late timers.
	endMarginMillis = 20
	// deadlineValues bounds the deadlines that are counted for a route.
	deadlineValues = 16
)

// commonDeadline finds the deadline that clients send with the first request for a query.
// A request with a shorter one is taken for a retry, whose client has already waited.
type commonDeadline struct {
	counts map[tiller.Millis]int
	common tiller.Millis
}

// waited returns the time that the client has waited before this request, and counts its deadline.
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

// setTimes sets the times by which a query is to be answered.
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
	margin := tiller.Millis(answerMarginMillis)
	if e.NewConnection {
		margin += newConnectionMillis
	}
	target := q.route.Target
	if target <= 0 {
		target = wait
	}
	// A retry that comes too late for the target still gets a reasonable time to gather.
	q.answerBy = min(q.arrived+max(target-waited-margin, target/2), q.expiresAt)
}
