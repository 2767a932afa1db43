package gatherer

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
)

// In the worst seconds of a large fleet most answers waited for their last shards until they were due, and then left a
// weak VM some milliseconds late, which missed the target. Answers must leave earlier by that time, and no longer
// once they leave in time again.
func TestLateAnswersLeaveEarlier(t *testing.T) {
	s := New(Settings{VM: "vm"})
	due := func(now tiller.Millis) tiller.Millis {
		q := &query{arrived: now, route: cataloger.Route{Target: 200, Timeout: 1000}}
		s.setTimes(q, QueryArrived{Deadline: 1000})
		return q.answerBy - now
	}
	usual := due(1000)
	for at := tiller.Millis(1000); at < 5000; at += 100 {
		s.Step(at, AnswerWritten{Due: at - 9})
	}
	require.InDelta(t, float64(usual-9), float64(due(5000)), 3)
	// A stall of the process must not shorten the answers after it by its whole length.
	s.Step(5100, AnswerWritten{Due: 3000})
	require.GreaterOrEqual(t, due(5100), usual-maxLatenessMillis)
	// An answer that leaves before it is due tells nothing.
	before := due(5200)
	s.Step(5200, AnswerWritten{Due: 6000})
	require.Equal(t, before, due(5200))
	require.Equal(t, usual, due(60000))
}
