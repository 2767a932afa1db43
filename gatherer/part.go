package gatherer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// This file delivers the reply to a sub-query in two parts. When upstreams are slow or paused, a daemon that gathers
// many shards waits for the last of them until the reply is due. If that reply is then late, because the daemon is
// weak or the network slow, all shards of the group are missing from the answer. The daemon therefore sends the
// shards that it has ahead of time.

const (
	// partShare is the part of a sub-query's time after which the shards answered by then are sent.
	partShare = 0.5
	// minPartedMillis is the time of a sub-query below which its reply is not divided.
	minPartedMillis = 50 * tiller.Millis(1)
)

// ReplyPart answers the shards of a sub-query that are listed in Reply. ReplySub answers the others later.
type ReplyPart struct {
	Query uint64
	Reply SubReply
}

func (ReplyPart) effect() {}

// SubQueryPart reports that some shards of a sub-query were answered.
type SubQueryPart struct {
	Attempt uint64
	Reply   SubReply
}

func (SubQueryPart) event() {}

// partTime returns the time at which the first part of the reply to a sub-query is due, or 0 if the reply is not
// divided.
func partTime(now tiller.Millis, e SubQueryArrived) tiller.Millis {
	if !e.InParts || e.Target < minPartedMillis {
		return 0
	}
	return now + tiller.Millis(partShare*float64(e.Target))
}

// sendPart sends the shards of a sub-query that are answered. Shards that a sub-query to a third daemon includes are
// left for the end, because its reply may replace their records.
func (s *State) sendPart(now tiller.Millis, q *query) {
	q.partAt = 0
	records := merger.NewRecords(q.topK)
	for _, merged := range q.merged {
		records.Add(merged)
	}
	var parts []Part
	for _, sh := range q.shards {
		if sh.status != shardAnswered || sh.subQuery != nil {
			continue
		}
		parts = append(parts, Part{Shard: sh.service, Stamp: sh.stamp})
		records.Add(sh.records)
		sh.records, sh.delivered = nil, true
	}
	q.merged = nil
	if len(parts) == 0 {
		return
	}
	s.emit(ReplyPart{Query: q.id, Reply: SubReply{Leaving: s.leavingUpstreams(q), Parts: parts, Records: merger.Above(records.Bytes(), q.askerThreshold), Took: now - q.arrived}})
}

// receivePart stores the shards that another daemon answered ahead of the others. Those stay with the sub-query.
func (s *State) receivePart(now tiller.Millis, e SubQueryPart) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	s.hearLeaving(a.peer.VM, e.Reply.Leaving)
	if a.query.ended {
		return
	}
	if !isValidReply(a, e.Reply) {
		s.emit(Cancel{Attempt: a.id})
		s.endSubQuery(now, SubQueryEnded{Attempt: a.id, Failure: tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonMismatch, nil)})
		return
	}
	answered := make(map[string]bool, len(e.Reply.Parts))
	for _, p := range e.Reply.Parts {
		answered[p.Shard] = true
	}
	whole := *a
	open := make([]*shard, 0, len(a.shards))
	for _, sh := range a.shards {
		if !answered[sh.service] {
			open = append(open, sh)
			continue
		}
		sh.outstanding -= a.upstreamLimit + a.unusedLimit
		sh.subQuery, sh.checkAt = nil, 0
	}
	a.shards = open
	s.acceptReply(now, &whole, e.Reply)
	s.evaluate(now, a.query)
}
