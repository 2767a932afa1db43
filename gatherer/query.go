package gatherer

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// query is a request that is not answered yet.
type query struct {
	id       uint64
	clientID string
	// rank orders the query among others of its priority, alike in all daemons.
	rank    uint64
	route   cataloger.Route
	version int64
	// sub says that another daemon asked, for some of the shards.
	isSubQuery bool
	// unconfirmed says that the asking daemon may have replaced the sub-query.
	unconfirmed bool
	// extra says that the asking daemon has sent first requests for the shards.
	extra   bool
	arrived tiller.Millis
	// answerBy is the time at which an answer goes out if its coverage suffices.
	answerBy tiller.Millis
	// end is the time at which the client or the operator gives up.
	expiresAt tiller.Millis
	shards    []*shard
	answered  int
	failed    int
	needed    int
	sent      int
	timerAt   tiller.Millis
	topK      int
	// groups is the number of groups that the shards are divided into.
	groups int
	// merged holds the records of sub-queries, each merged from several parts.
	merged [][]byte
	// above is the record that those in the reply of a sub-query must exceed.
	askerFloor []byte
	// own is the least of the greatest records that had come when flooredAt shards had. It is in the reply.
	ownFloor      []byte
	floorAnswered int
	attempts      []uint64
	trouble       []Trouble
	ended         bool
	// unlikely says that the query probably cannot be answered with enough coverage.
	unlikely bool
	// learned says that the query has told which shards are missing.
	missesRecorded bool
}

// shard is the part of a query that one service answers. A query on a plain route has one.
type shard struct {
	query   *query
	service string
	status  shardStatus
	// tried holds the upstreams asked so far.
	tried []*upstream
	// ran is the number of upstreams on which the request has ended and may have run.
	possibleRuns int
	outstanding  int
	// tries is the number of requests and sub-queries sent for the shard.
	tries int
	// hedgeAt is the time at which a further request is due.
	checkAt tiller.Millis
	// asked is the sub-query that the shard is part of; nil when there is none.
	subQuery *attempt
	// last is the latest request or sub-query for the shard; nil when none was sent.
	lastAttempt *attempt
	// waiting says that the shard waits for room at an upstream.
	queued bool
	// counted says that the shard's first request has added to the budget, here or elsewhere.
	budgeted bool
	// arrivals is the number of requests that may have arrived at an upstream.
	arrivals int
	reason   tiller.Reason
	// stamp and records are the part of an answered shard. A part that a sub-query brought has
	// its records in merged.
	stamp   string
	records []byte
}

type shardStatus uint8

const (
	shardOpen shardStatus = iota
	shardAnswered
	shardFailed
)

// attempt is a request to an upstream or a sub-query to a daemon that has not ended.
type attempt struct {
	id       uint64
	query    *query
	shards   []*shard
	upstream *upstream
	peer     *peer
	// limit is the number of upstreams of each shard that a sub-query may be sent to.
	upstreamLimit int
	// late is the part of the limit that a sub-query that was not accepted in time did not use.
	unusedLimit int
	// extra says that the attempt was paid for from the budget.
	extra bool
	// accepted says that the other daemon has begun the sub-query.
	accepted bool
	// acceptBy is the time by which it must be accepted.
	acceptBy tiller.Millis
	sent     tiller.Millis
	expected tiller.Millis
}

// single says whether the query goes to one upstream whose answer is passed on.
func (q *query) isSingle() bool { return !q.isSubQuery && !q.route.Gathers() }

// open returns the number of shards that are neither answered nor given up.
func (q *query) openShards() int { return len(q.shards) - q.answered - q.failed }

// mayHaveRun says whether an upstream may have run the request or may still run it.
func (q *query) mayHaveRun() bool {
	for _, sh := range q.shards {
		if sh.possibleRuns > 0 || sh.outstanding > 0 || sh.status == shardAnswered {
			return true
		}
	}
	return false
}

// lose gives a shard up.
func (sh *shard) fail(reason tiller.Reason) {
	if sh.status != shardOpen {
		return
	}
	sh.status = shardFailed
	sh.reason = reason
	sh.query.failed++
}

// avoid marks an upstream as asked by the daemon that sent the sub-query.
func (q *query) markTried(u *upstream) {
	for _, sh := range q.shards {
		if sh.service == u.Service {
			sh.tried = append(sh.tried, u)
		}
	}
}

// hasTried says whether an upstream was asked.
func (sh *shard) hasTried(u *upstream) bool {
	for _, other := range sh.tried {
		if other == u {
			return true
		}
	}
	return false
}

// triesPerAttempt bounds the requests for a shard that do not run, such as rejected ones, so that
// daemons do not pass a shard to and fro.
const maxTriesPerAttempt = 3

// mayAsk says whether the request may be sent to one more upstream. A request that must not run
// twice is sent again only after it is certain that it has not run.
func (sh *shard) maySend() bool {
	if !sh.query.route.Repeatable && sh.possibleRuns+sh.outstanding > 0 {
		return false
	}
	q := sh.query
	return sh.possibleRuns+sh.outstanding < q.maxUpstreams() && sh.tries < maxTriesPerAttempt*q.route.Attempts
}

// allowed returns the number of upstreams that a shard may be sent to for now: one until the asking
// daemon has confirmed a sub-query.
func (q *query) maxUpstreams() int {
	if q.unconfirmed {
		return 1
	}
	return q.route.Attempts
}

// trouble says why a shard is missing, and where it was sent last.
func (sh *shard) trouble(now tiller.Millis) Trouble {
	t := Trouble{Service: sh.service, Reason: sh.reason}
	if sh.lastAttempt != nil {
		t.Upstream, t.After, t.Expected = sh.lastAttempt.target(), now-sh.lastAttempt.sent, sh.lastAttempt.expected
	}
	return t
}

// target names the upstream, or the VM of the daemon, that an attempt was sent to.
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
		// The end of its last attempt may have been noted just now.
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
