package gatherer

import tiller "github.com/carawaytiller/carawaytiller"

const (
	// downMillis is the time for which an upstream that cannot be reached gets no requests. The first
	// request after it finds out whether the upstream is back.
	downMillis = 300
	// refusedLimit is the number of connections in a row that fail after which an upstream counts as
	// one that cannot be reached. A single one may be beyond the limit of a busy upstream.
	refusedLimit = 2
	// answeredMillis is the time for which an answer shows that an upstream can be reached.
	answeredMillis = 200
)

// down notes that an upstream cannot be reached.
type down struct {
	until    tiller.Millis
	answered tiller.Millis
	refused  int
}

// isDown says whether requests to an upstream are known to be in vain.
func (u *upstream) isDown(now tiller.Millis) bool { return now < u.down.until }

// watchDown learns from the end of an attempt whether its upstream can be reached.
func (s *State) watchDown(now tiller.Millis, a *attempt, e AttemptEnded) {
	d := &a.upstream.down
	switch {
	case e.Failure == nil:
		*d = down{answered: now}
	case e.Failure.Reason == tiller.ReasonConnectFailed:
		if d.refused++; d.refused >= refusedLimit && now-d.answered > answeredMillis {
			d.until = now + downMillis
		}
	}
}

// learnDown takes over what another daemon knows of upstreams near it.
func (s *State) learnDown(now tiller.Millis, ids []string) {
	for _, id := range ids {
		if u, ok := s.upstreams[id]; ok && now-u.down.answered > answeredMillis {
			u.down.until = max(u.down.until, now+downMillis)
		}
	}
}

// downOf lists the upstreams of a query's shards that cannot be reached from here. Those of other
// regions are left out, because this daemon may only be cut off from them.
func (s *State) downOf(now tiller.Millis, q *query) []string {
	var ids []string
	for _, sh := range q.shards {
		for _, u := range s.services[sh.service] {
			if u.Region == s.settings.Region && u.isDown(now) {
				ids = append(ids, u.ID)
			}
		}
	}
	return ids
}
