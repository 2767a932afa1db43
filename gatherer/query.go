package gatherer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// query is a request that is not answered yet, from a client or from another daemon.
type query struct {
	id       uint64
	clientID string
	digest   uint64
	// rank orders queries of the same priority. All daemons compute the same rank for a request.
	rank    uint64
	route   cataloger.Route
	version int64
	// isSubQuery is true if another daemon sent the query, for some of its shards.
	isSubQuery bool
	// unconfirmed is true while the requesting daemon may have replaced the sub-query.
	unconfirmed bool
	// extra is true if the requesting daemon has already sent first requests for the shards.
	extra   bool
	arrived tiller.Millis
	// answerBy is the time from which an answer is sent as soon as its coverage suffices.
	answerBy tiller.Millis
	// expiresAt is the time by which the query is refused if it is not answered: shortly before the client or
	// the requesting daemon gives up, or before the timeout of the route.
	expiresAt tiller.Millis
	shards    []*shard
	// answered and failed count shards; needed is the number of answered shards that an answer requires.
	answered int
	failed   int
	needed   int
	// sent is the number of requests and sub-queries sent.
	sent int
	// cut holds the failure domains that the query must not use, because this daemon was cut off from them when it
	// arrived.
	cut map[string]bool
	// subQueries is the number of sub-queries sent, accepted that of those that other daemons have started.
	subQueries, accepted int
	// losses is the number of connections that were lost under the query.
	losses int
	// partAt is the time at which the first part of the reply is due; 0 if none is to be sent.
	partAt tiller.Millis
	// timerAt is the time of the query's timer; 0 when none is set.
	timerAt tiller.Millis
	topK    int
	// groups is the number of groups that the shards are divided into.
	groups int
	// merged holds the records of sub-query replies, each merged from several shards.
	merged [][]byte
	// askerThreshold is SubQuery.Threshold: records in the reply must be greater.
	askerThreshold []byte
	// ownThreshold is the least of the topK greatest records received by the time thresholdAnswered shards were
	// answered. It is itself in the reply; records that are not greater do not change the reply.
	ownThreshold      []byte
	thresholdAnswered int
	// attempts holds the IDs of all attempts, ended ones included.
	attempts []uint64
	// trouble holds the failed attempts for the log.
	trouble []Trouble
	ended   bool
	// unlikely is true if the query probably cannot reach its required coverage.
	unlikely bool
	// missesRecorded is true once the query has updated the miss rates of its shards.
	missesRecorded bool
}

// shard is the part of a query that one service answers. A query on a route without shards has one.
type shard struct {
	query   *query
	service string
	status  shardStatus
	// tried holds the upstreams that the request was sent to.
	tried []*upstream
	// possibleRuns is the number of upstreams on which the request has ended and may have run.
	possibleRuns int
	// outstanding is the number of upstreams that may be running the request: one for each outstanding request,
	// and upstreamLimit for an outstanding sub-query.
	outstanding int
	// tries is the number of requests and sub-queries sent for the shard.
	tries int
	// checkAt is the time at which a further request is due, or at which it is checked whether the sub-query
	// of the shard was accepted; 0 means neither.
	checkAt tiller.Millis
	// subQuery is the outstanding sub-query that includes the shard; nil if there is none.
	subQuery *attempt
	// lastAttempt is the latest request or sub-query for the shard; nil if none was sent.
	lastAttempt *attempt
	// queued is true while the shard waits for capacity at an upstream.
	queued bool
	// canary is true while an upstream of the new version of a rollout is chosen for the shard.
	canary bool
	// budgeted is true once the shard's first request was credited to the retry budget of this daemon or of
	// another one.
	budgeted bool
	// arrivals is the number of requests that may have arrived at an upstream.
	arrivals int
	reason   tiller.Reason
	// stamp and records are set for an answered shard. The records of a shard that was answered through a
	// sub-query are in query.merged.
	stamp   string
	records []byte
	// delivered is true if the shard was in the first part of the reply.
	delivered bool
}

type shardStatus uint8

const (
	shardOpen shardStatus = iota
	shardAnswered
	shardFailed
)

// attempt is an outstanding request to an upstream or sub-query to another daemon.
type attempt struct {
	id       uint64
	query    *query
	shards   []*shard
	upstream *upstream
	peer     *peer
	// upstreamLimit is the number of upstreams that a sub-query may send the request for each shard to.
	upstreamLimit int
	// unusedLimit is the part of upstreamLimit that a sub-query cannot use any more, because it was replaced
	// before it was confirmed.
	unusedLimit int
	// extra is true if the attempt was charged to the retry budget.
	extra bool
	// accepted is true if the other daemon has started the sub-query.
	accepted bool
	// extended is true if the other daemon was given more time to start the sub-query.
	extended bool
	// acceptBy is the time by which the other daemon must have started the sub-query.
	acceptBy tiller.Millis
	sent     tiller.Millis
	expected tiller.Millis
}

// isSingle reports whether the query goes to one upstream, whose answer is returned unchanged.
func (q *query) isSingle() bool { return !q.isSubQuery && !q.route.IsSharded() }

// openShards returns the number of shards that are neither answered nor failed.
func (q *query) openShards() int { return len(q.shards) - q.answered - q.failed }

// mayHaveRun reports whether an upstream may have run the request or may still run it.
func (q *query) mayHaveRun() bool {
	for _, sh := range q.shards {
		if sh.possibleRuns > 0 || sh.outstanding > 0 || sh.status == shardAnswered {
			return true
		}
	}
	return false
}

// fail marks an open shard as failed: no further request is sent for it. The reply of an outstanding sub-query
// may still answer it.
func (sh *shard) fail(reason tiller.Reason) {
	if sh.status != shardOpen {
		return
	}
	sh.status = shardFailed
	sh.reason = reason
	sh.query.failed++
}

// markTried marks an upstream as already tried by the daemon that sent the sub-query.
func (q *query) markTried(u *upstream) {
	for _, sh := range q.shards {
		if sh.service == u.Service {
			sh.tried = append(sh.tried, u)
		}
	}
}

// hasTried reports whether the request was sent to an upstream.
func (sh *shard) hasTried(u *upstream) bool {
	for _, other := range sh.tried {
		if other == u {
			return true
		}
	}
	return false
}

// maxTriesPerAttempt bounds the requests for a shard per allowed attempt, counting those that do not run,
// such as shed ones. It keeps daemons from handing a shard back and forth.
const maxTriesPerAttempt = 3

// maySend reports whether the request may be sent to one more upstream. A request that is not repeatable is
// sent again only after it is certain that it has not run.
func (sh *shard) maySend() bool {
	if !sh.query.route.Repeatable && sh.possibleRuns+sh.outstanding > 0 {
		return false
	}
	q := sh.query
	return sh.possibleRuns+sh.outstanding < q.maxUpstreams() && sh.tries < maxTriesPerAttempt*q.route.Attempts
}

// maxUpstreams returns the number of upstreams that a shard may currently be sent to: one for a sub-query
// that is not confirmed yet.
func (q *query) maxUpstreams() int {
	if q.unconfirmed {
		return 1
	}
	return q.route.Attempts
}

// trouble returns the log entry of a missing shard: the reason and the last target.
func (sh *shard) trouble(now tiller.Millis) Trouble {
	t := Trouble{Service: sh.service, Reason: sh.reason}
	if sh.lastAttempt != nil {
		t.Upstream, t.After, t.Expected = sh.lastAttempt.target(), now-sh.lastAttempt.sent, sh.lastAttempt.expected
	}
	return t
}

// target returns the ID of the upstream, or the VM of the daemon, that the attempt was sent to.
func (a *attempt) target() string {
	if a.upstream != nil {
		return a.upstream.ID
	}
	return a.peer.VM
}

func (q *query) decision(now tiller.Millis) Decision {
	trouble := q.trouble
	for _, sh := range q.shards {
		if sh.status == shardAnswered || sh.reason == "" {
			continue
		}
		// The end of the shard's last attempt may already be in the list.
		if t := sh.trouble(now); !slices.Contains(trouble, t) {
			trouble = append(trouble, t)
		}
	}
	return Decision{
		ID:            q.clientID,
		Route:         q.route.Name,
		Configuration: q.version,
		Took:          now - q.arrived,
		Attempts:      q.sent,
		Trouble:       trouble,
	}
}
