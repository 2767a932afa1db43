package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/merger"
)

// Two shards have no upstream that answers, so that their groups wait for them until the reply is due, and messages
// between daemons take up to 80 ms longer than expected, as on busy VMs. The other shards of those groups must reach
// the answer although the end of the reply is late.
func TestFirstPartOutrunsLateReply(t *testing.T) {
	t.Parallel()
	complete := func(wholeReplies bool) float64 {
		sim := newSimulation(t, 21)
		sim.wholeReplies = wholeReplies
		for _, u := range sim.sortedUpstreams() {
			u.silent = u.Service == shardName(3) || u.Service == shardName(7)
		}
		for _, d := range sim.daemons {
			d.maxExtraDelay = 80
		}
		sim.scheduleLoad(12000, 45, "/q/1")
		sim.runUntil(15000)
		sim.requireAttemptLimit(2)
		sim.requireRetryBudget()
		return sim.outcomeShare(isInTime)
	}
	parts, whole := complete(false), complete(true)
	require.Greater(t, parts, whole)
	require.GreaterOrEqual(t, parts, 0.9)
}

// subQueryState returns the state of a daemon with two shards, of one upstream each, that gathers a sub-query for both.
func subQueryState(t *testing.T) (s *gatherer.State, sends []gatherer.Send) {
	s = gatherer.New(gatherer.Settings{VM: "vm", Region: "east", Domain: "east-a", Bounds: cataloger.Bounds{RetryRatio: 0.2, RetrySlack: 50}})
	for _, service := range []string{"a", "b"} {
		s.Step(1, gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u-" + service, Service: service, Region: "east", Domain: "east-a", Slots: 2}})
	}
	route := cataloger.Route{Name: "r", Host: "h", Prefix: "/", Repeatable: true, Attempts: 2, TopK: 2, Shards: []string{"a", "b"}}
	s.Step(1, gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, []cataloger.Route{route}, nil)})
	for _, e := range s.Step(10, gatherer.SubQueryArrived{Query: 1, ID: "q", InParts: true, SubQuery: gatherer.SubQuery{
		Route: "r", Shards: []string{"a", "b"}, TopK: 2, Groups: 1, Attempts: 1, Target: 100, Timeout: 500,
	}}) {
		if send, ok := e.(gatherer.Send); ok {
			sends = append(sends, send)
		}
	}
	require.Len(t, sends, 2)
	return s, sends
}

func record(b byte) []byte {
	r := make([]byte, merger.RecordBytes)
	r[0] = b
	return r
}

// A record must be in one part of a reply only: the requesting daemon adds the parts up and cannot tell a repeated
// record from an equal one.
func TestPartsOfAReplyAreDisjoint(t *testing.T) {
	t.Parallel()
	s, sends := subQueryState(t)
	s.Step(20, gatherer.SubQueryConfirmed{Query: 1})
	s.Step(30, gatherer.AttemptEnded{Attempt: sends[0].Attempt, Answer: gatherer.Answer{Status: 200, Stamp: "stamp-0", Body: append(record(9), record(8)...)}})
	at, ok := s.NextTimer()
	require.True(t, ok)
	var part gatherer.ReplyPart
	for at < 110 {
		for _, e := range s.Step(at, gatherer.TimerFired{}) {
			if p, ok := e.(gatherer.ReplyPart); ok {
				require.Empty(t, part.Reply.Parts, "second part")
				require.GreaterOrEqual(t, at, tiller.Millis(60))
				part = p
			}
		}
		at, _ = s.NextTimer()
	}
	require.Equal(t, []gatherer.Part{{Shard: sends[0].Upstream.Service, Stamp: "stamp-0"}}, part.Reply.Parts)
	require.Equal(t, append(record(9), record(8)...), part.Reply.Records)
	var last gatherer.ReplySub
	for _, e := range s.Step(105, gatherer.AttemptEnded{Attempt: sends[1].Attempt, Answer: gatherer.Answer{Status: 200, Stamp: "stamp-1", Body: record(5)}}) {
		if r, ok := e.(gatherer.ReplySub); ok {
			last = r
		}
	}
	require.Equal(t, []gatherer.Part{{Shard: sends[1].Upstream.Service, Stamp: "stamp-1"}}, last.Reply.Parts)
	require.Equal(t, record(5), last.Reply.Records)
	require.Empty(t, last.Reply.Missing)
}
