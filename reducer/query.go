package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// queryKey identifies a query in flight. A query that its token's issuer has sent on is told apart
// from the caller's own, because both can be at the same daemon.
type queryKey struct {
	caller     string
	id         tiller.RequestID
	fromIssuer bool
}

// phase is the stage that a query has reached.
type phase uint8

const (
	// phaseSeeking waits until the owner of its unit is known.
	phaseRouting phase = iota
	// phaseForwarded waits for a peer.
	phaseForwarded
	// phaseParked waits for the canary of another query with the same digest.
	phaseParked
	// phaseQueued waits for capacity.
	phaseQueued
	// phaseRunning has a snapshot pinned.
	phaseRunning
	// phaseDone has its result.
	phaseDone
)

// query is an accepted query. The entry belongs to State and changes in place;
// its tables of shards are never copied.
type query struct {
	key       queryKey
	from      int
	ref       uint64
	request   tiller.Query
	route     tiller.Route
	digest    uint64
	unit      *unit
	phase     phase
	handle    uint64
	arrivedAt tiller.Millis
	// end is the time at which the result is sent at the latest.
	replyBy tiller.Millis
	// repeatable says whether the request may run more than once.
	repeatable bool
	// issuer says that this daemon spent the query's token and remembers the outcome.
	isIssuer bool
	// mayHaveRun says that an attempt that has ended, or a peer, may have run the request.
	mayHaveRun   bool
	timers       [queryTimerKinds]timer
	setPositions [querySetKinds]int

	forwarding forwarding
	running    running
}

// running is what a query has once its snapshot is pinned.
type running struct {
	plan     *plan
	pinnedAt tiller.Millis
	// needed is the number of shards below which the query is refused.
	needed        int
	waitFor       tiller.WaitFor
	stragglerWait tiller.Millis
	itemLimit     int
	// tag orders the queries that wait for an upstream; it is the start tag of fair queuing.
	startTag     int64
	shards       []shard
	parts        []merger.Part
	statusCounts [shardStatuses]int
	inFlight     int
	reruns       int
	// retired says that no upstream has the snapshot for some shard.
	snapshotRetired bool
	exploring       bool
	// side is the version that the query goes to during a rollout.
	version targetVersion
	// probing says that only canaries are sent.
	canaryOnly bool
	// order lists the attempts in the order in which they were sent.
	attemptOrder []tiller.AttemptID
	hedgeNext    int
	// late are the attempts that are due for a hedged request and could not get one yet.
	deferredHedges []tiller.AttemptID
	expiryNext     int
	hedgeDelay     tiller.Millis
	// delayed are the shards that wait for the retry timer.
	delayed    []int32
	retryRound int
	// waits says for each upstream of the plan whether the query waits for it.
	waitsFor []bool
}

// shardStatus is what has become of one shard of a query.
type shardStatus uint8

const (
	// shardIdle has not been given to an upstream.
	shardIdle shardStatus = iota
	// shardWaiting waits until one of its upstreams has room.
	shardWaiting
	// shardDelayed waits for the retry timer.
	shardDelayed
	// shardFlying is part of an attempt.
	shardInFlight
	// shardAnswered has its result.
	shardAnswered
	// shardMissing gets no result any more.
	shardMissing
	shardStatuses
)

// shard is the state of one shard of a query.
type shard struct {
	status shardStatus
	// retried says that an attempt with the shard has failed.
	retried bool
	// hedged says that a hedged request for the shard was sent.
	hedged bool
	// failed is the upstream that failed last, as an index into the plan; -1 when none has.
	lastFailed int32
	// reason is why the shard has no result yet.
	reason tiller.Reason
	// attempts are those in flight with this shard; 0 marks a free place.
	attempts [2]tiller.AttemptID
}

func (sh *shard) addAttempt(id tiller.AttemptID) {
	if sh.attempts[0] == 0 {
		sh.attempts[0] = id
		return
	}
	sh.attempts[1] = id
}

func (sh *shard) dropAttempt(id tiller.AttemptID) {
	for i := range sh.attempts {
		if sh.attempts[i] == id {
			sh.attempts[i] = 0
		}
	}
}

func (sh *shard) hasAttempt() bool { return sh.attempts != [2]tiller.AttemptID{} }

// set changes the status of a shard and keeps the counts.
func (r *running) setStatus(i int32, status shardStatus) {
	sh := &r.shards[i]
	r.statusCounts[sh.status]--
	r.statusCounts[status]++
	sh.status = status
}

// settled says whether every shard is answered or missing.
func (r *running) isSettled() bool {
	return r.statusCounts[shardAnswered]+r.statusCounts[shardMissing] == len(r.shards)
}

func (q *query) hasToken() bool { return q.request.Token != "" && !q.repeatable }

// verdict returns what is known of whether the request has run.
func (q *query) verdict() tiller.Verdict {
	if q.mayHaveRun || q.running.inFlight > 0 || q.phase == phaseForwarded {
		return tiller.MayHaveRun
	}
	return tiller.NotRun
}

// coverage states what has been answered so far, and why the rest has not.
func (q *query) coverage() tiller.Coverage {
	r := &q.running
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.status == shardAnswered {
			continue
		}
		r.parts[i].Reason = sh.reason
		if sh.status == shardInFlight || sh.reason == "" {
			r.parts[i].Reason = tiller.ReasonTimeout
		}
	}
	return merger.Coverage(r.parts)
}
