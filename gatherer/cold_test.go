package gatherer

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Guards against counting an upstream as cold for too long, or as warm after it has become cold again. Both
// can happen because its reports arrive late: through other daemons and after pauses between watches.
func TestColdUntil(t *testing.T) {
	tests := map[string]struct {
		now, knownEnd, knownRemaining, remaining, want tiller.Millis
	}{
		"first report":                          {now: 1000, remaining: 3000, want: 4000},
		"later report, less late":               {now: 2000, knownEnd: 4000, knownRemaining: 3000, remaining: 1700, want: 3700},
		"later report, as late":                 {now: 2000, knownEnd: 4000, knownRemaining: 3000, remaining: 2000, want: 4000},
		"later report, more late":               {now: 2500, knownEnd: 4000, knownRemaining: 3000, remaining: 2000, want: 4000},
		"cold again":                            {now: 9000, knownEnd: 4000, knownRemaining: 3000, remaining: 3000, want: 12000},
		"cold again, first report missed":       {now: 9000, knownEnd: 4000, knownRemaining: 3000, remaining: 2000, want: 11000},
		"cold again before the end":             {now: 3000, knownEnd: 4000, knownRemaining: 1000, remaining: 3000, want: 6000},
		"cold again, early reports missed":      {now: 4900, knownEnd: 4000, knownRemaining: 3000, remaining: 2000, want: 6900},
		"warm":                                  {now: 3000, knownEnd: 4000, knownRemaining: 1000, want: 0},
		"cold again just after the end":         {now: 4100, knownEnd: 4000, knownRemaining: 3000, remaining: 400, want: 4500},
		"cold after it was reported to be warm": {now: 3000, remaining: 800, want: 3800},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, coldUntil(tt.now, tt.knownEnd, tt.knownRemaining, tt.remaining))
		})
	}
}
