package gatherer

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Reports of upstreams arrive late, by other daemons and after pauses. An upstream must not count as cold
// for longer because of that, and one that became cold again must not count as warm.
func TestColdUntil(t *testing.T) {
	tests := map[string]struct {
		now, known, knownRest, rest, want tiller.Millis
	}{
		"first report":                      {now: 1000, rest: 3000, want: 4000},
		"later report, less late":           {now: 2000, known: 4000, knownRest: 3000, rest: 1700, want: 3700},
		"later report, as late":             {now: 2000, known: 4000, knownRest: 3000, rest: 2000, want: 4000},
		"later report, more late":           {now: 2500, known: 4000, knownRest: 3000, rest: 2000, want: 4000},
		"cold again":                        {now: 9000, known: 4000, knownRest: 3000, rest: 3000, want: 12000},
		"cold again, first report missed":   {now: 9000, known: 4000, knownRest: 3000, rest: 2000, want: 11000},
		"cold again before the end":         {now: 3000, known: 4000, knownRest: 1000, rest: 3000, want: 6000},
		"cold again, early reports missed":  {now: 4900, known: 4000, knownRest: 3000, rest: 2000, want: 6900},
		"warm":                              {now: 3000, known: 4000, knownRest: 1000, want: 0},
		"cold again just after the end":     {now: 4100, known: 4000, knownRest: 3000, rest: 400, want: 4500},
		"cold after it was said to be warm": {now: 3000, rest: 800, want: 3800},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, coldUntil(tt.now, tt.known, tt.knownRest, tt.rest))
		})
	}
}
