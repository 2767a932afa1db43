package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// queryKey identifies a query in flight. A query forwarded by the issuer of its token has another key than
// the query that the caller sent, because both can be at the same daemon.
type queryKey struct {
	caller     string
	id         tiller.RequestID
	fromIssuer bool
}

// phase is the current stage of a query.
type phase uint8

const (
	// phaseRouting has been assigned neither to a queue nor to a peer. It may wait for the owner of its unit.
	phaseRouting phase = iota
	// phaseForwarded waits for the reply of a peer.
	phaseForwarded
	// phaseParked waits for the canary of another query with the same digest.
	phaseParked
	// phaseQueued waits in the queue of its unit for capacity.
	phaseQueued
	// phaseRunning is pinned to a snapshot and sends attempts.
	phaseRunning
	// phaseDone has been replied to.
	phaseDone
)

// query is an accepted query. It is owned by State and changed in place; its tables of shards are never copied.
type query struct {
	key     queryKey
	from    int
	ref     uint64
	request tiller.Query
	route   tiller.Route
	// digest is the hash of the request's service, route and body.
	digest uint64
	unit   *unit
	phase  phase
	// handle increases in the order of arrival.
	handle    uint64
	arrivedAt tiller.Millis
	// replyBy is the latest time at which the result is sent.
	replyBy tiller.Millis
	// repeatable is set when the request may run more than once.
	repeatable bool
	// isIssuer is set when this daemon spent the query's token. It then records the outcome.
	isIssuer bool
	// mayHaveRun is set when an attempt that has ended, or a peer, may have run the request.
	mayHaveRun   bool
	timers       [queryTimerKinds]timer
	setPositions [querySetKinds]int

	forwarding forwarding
	running    running
}

// running is the state of a query that is pinned to a snapshot.
type running struct {
	plan     *plan
	pinnedAt tiller.Millis
	// needed is the minimum number of answered shards. With fewer, the query is refused.
	needed        int
	waitFor       tiller.WaitFor
	stragglerWait tiller.Millis
	itemLimit     int
	// startTag is the start tag of fair queuing. It orders the queries that wait for an upstream.
	startTag     int64
	shards       []shard
	parts        []merger.Part
	statusCounts [shardStatuses]int
	inFlight     int
	reruns       int
	// snapshotRetired is set when a shard has no usable upstream and one of its upstreams does not serve the
	// snapshot.
	snapshotRetired bool
	exploring       bool
	// version is the upstream version that the query is sent to during a rollout.
	version targetVersion
	// canaryOnly is set while only canaries are sent. A canary is an attempt that tests whether a request whose
	// digest is not known to be clean crashes the upstream that runs it.
	canaryOnly bool
	// attemptOrder lists the attempts in the order in which they were sent.
	attemptOrder []tiller.AttemptID
	hedgeNext    int
	// deferredHedges are the attempts that are due for a hedged request but could not get one yet.
	deferredHedges []tiller.AttemptID
	expiryNext     int
	hedgeDelay     tiller.Millis
	// delayed are the shards that wait for the retry timer.
	delayed    []int32
	retryRound int
	// waitsFor tells for each upstream of the plan whether the query waits for it.
	waitsFor []bool
}

// shardStatus is the state of one shard of a query.
type shardStatus uint8

const (
	// shardIdle has not been assigned to an upstream.
	shardIdle shardStatus = iota
	// shardWaiting waits until one of its upstreams admits another request.
	shardWaiting
	// shardDelayed waits for the retry timer.
	shardDelayed
	// shardInFlight is part of at least one attempt in flight.
	shardInFlight
	// shardAnswered has its result.
	shardAnswered
	// shardMissing will get no result.
	shardMissing
	shardStatuses
)

// shard is the state of one shard of a query.
type shard struct {
	status shardStatus
	// retried is set after an attempt with the shard failed for another reason than the end of the lease.
	// The next one is then a retry.
	retried bool
	// hedged is set when a hedged request was sent since the shard was last placed.
	hedged bool
	// lastFailed is the upstream that failed last, as an index into the plan; -1 when none has.
	lastFailed int32
	// reason is why the shard has no result yet.
	reason tiller.Reason
	// attempts are the attempts in flight with this shard; 0 marks a free entry.
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

// setStatus changes the status of a shard and updates the counts.
func (r *running) setStatus(i int32, status shardStatus) {
	sh := &r.shards[i]
	r.statusCounts[sh.status]--
	r.statusCounts[status]++
	sh.status = status
}

// isSettled reports whether every shard is answered or missing.
func (r *running) isSettled() bool {
	return r.statusCounts[shardAnswered]+r.statusCounts[shardMissing] == len(r.shards)
}

func (q *query) hasToken() bool { return q.request.Token != "" && !q.repeatable }

// verdict returns whether the request may have run.
func (q *query) verdict() tiller.Verdict {
	if q.mayHaveRun || q.running.inFlight > 0 || q.phase == phaseForwarded {
		return tiller.MayHaveRun
	}
	return tiller.NotRun
}

// coverage returns the coverage so far, with a reason for each shard that has no result.
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
