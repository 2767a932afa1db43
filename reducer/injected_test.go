package reducer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// mutateReplies returns an intercept function that applies mutate to each reply.
func mutateReplies(mutate func(*reducer.Reply)) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for i, e := range effects {
			if r, ok := e.(reducer.Reply); ok {
				mutate(&r)
				effects[i] = r
			}
		}
		return effects
	}
}

func mutateAnswers(mutate func(*tiller.Answer)) func([]reducer.Effect) []reducer.Effect {
	return mutateReplies(func(r *reducer.Reply) {
		if r.Result.Answer != nil {
			mutated := *r.Result.Answer
			mutate(&mutated)
			r.Result.Answer = &mutated
		}
	})
}

// duplicateAttempts returns an intercept function that sends each attempt again, under other identifiers.
func duplicateAttempts(copies int) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for _, a := range effectsOf[reducer.SendAttempt](effects) {
			for i := range copies {
				a.Request.Attempt += tiller.AttemptID(1_000_000 * (i + 1))
				effects = append(effects, a)
			}
		}
		return effects
	}
}

func mutateAttempts(mutate func(*reducer.SendAttempt)) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for i, e := range effects {
			if a, ok := e.(reducer.SendAttempt); ok {
				mutate(&a)
				effects[i] = a
			}
		}
		return effects
	}
}

// Each check of the inspector must report the fault that it is meant to detect. Without an injected fault
// the inspector must report nothing.
func TestInspectorDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		name      string
		intercept func([]reducer.Effect) []reducer.Effect
		want      string
	}{
		{"one answered shard too many", mutateAnswers(func(a *tiller.Answer) { a.Coverage.Answered++ }), "coverage"},
		{"missing shard left out", mutateAnswers(func(a *tiller.Answer) { a.Coverage.Missing = nil }), "coverage"},
		{"missing shard without a reason", mutateAnswers(func(a *tiller.Answer) {
			a.Coverage.Missing = append([]tiller.MissingShard{}, a.Coverage.Missing...)
			for i := range a.Coverage.Missing {
				a.Coverage.Missing[i].Reason = ""
			}
		}), "coverage"},
		{"item of another snapshot", mutateAnswers(func(a *tiller.Answer) {
			a.Items = append([]tiller.Item{}, a.Items...)
			a.Items[0].Key = "n2/s0/a"
		}), "snapshot"},
		{"items out of order", mutateAnswers(func(a *tiller.Answer) { a.Items = append([]tiller.Item{a.Items[1]}, a.Items...) }), "items"},
		{"answer of another snapshot", mutateAnswers(func(a *tiller.Answer) { a.Snapshot = "n2" }), "coverage"},
		{"limit exceeded", duplicateAttempts(4), "limit"},
		{"cold allowance exceeded", duplicateAttempts(1), "cold"},
		{"attempt sent twice", func(effects []reducer.Effect) []reducer.Effect {
			for _, a := range effectsOf[reducer.SendAttempt](effects) {
				effects = append(effects, a)
			}
			return effects
		}, "sent twice"},
		{"second reply", func(effects []reducer.Effect) []reducer.Effect {
			for _, r := range effectsOf[reducer.Reply](effects) {
				effects = append(effects, r)
			}
			return effects
		}, "reply"},
		{"reply to another daemon", mutateReplies(func(r *reducer.Reply) { r.To = 6 }), "reply"},
		{"no reply", func(effects []reducer.Effect) []reducer.Effect {
			kept := effects[:0]
			for _, e := range effects {
				if _, ok := e.(reducer.Reply); !ok {
					kept = append(kept, e)
				}
			}
			return kept
		}, "reply: none"},
		{"NotRun though it may have run", mutateReplies(func(r *reducer.Reply) {
			if r.Result.Refusal != nil {
				changed := *r.Result.Refusal
				changed.Verdict = tiller.NotRun
				r.Result.Refusal = &changed
			}
		}), "verdict"},
		{"sent to a failure domain that is out", mutateAttempts(func(a *reducer.SendAttempt) { a.Upstream = "u1" }), "out of service"},
		{"sent to a leaving upstream", mutateAttempts(func(a *reducer.SendAttempt) { a.Upstream = "u3" }), "out of service"},
		{"sent to a draining upstream", mutateAttempts(func(a *reducer.SendAttempt) { a.Upstream = "u2" }), "draining"},
		{"sent without a lease", mutateAttempts(func(a *reducer.SendAttempt) { a.ValidUntil = 0 }), "lease"},
		{"single-use request sent twice", duplicateAttempts(1), "token"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations := runIntercepted(t, nil)
			require.Empty(t, violations)
			violations = runIntercepted(t, test.intercept)
			found := false
			for _, v := range violations {
				found = found || strings.Contains(v, test.want)
			}
			require.True(t, found, "no violation contains %q: %q", test.want, violations)
		})
	}
}

// runIntercepted runs a scenario that exercises every check of the inspector, and returns the violations.
func runIntercepted(t *testing.T, intercept func([]reducer.Effect) []reducer.Effect) []string {
	c := cluster{shards: 8, upstreams: 8, replicas: 1, slots: 4, coldSlots: 1, domains: 8, change: func(d *tiller.Document) {
		d.Domains[1].Out = true
		d.Upstreams[3].Leaving = true
		d.Services[0].NeededCoverage = 0.5
	}}
	s := newSim(t, 1, c.document(), reducer.Config{})
	s.upstreams["u5"].silent = true
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u2", Draining: true})
	s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: "u4"})
	token := s.issueToken()
	s.intercept = intercept
	for range 3 {
		q := s.searchQuery("c", 1000)
		q.Body = []byte("same")
		s.submit(q)
		q.NeededCoverage = 1
		s.submit(q)
		s.runUnchecked(s.now + 2000)
	}
	s.submit(s.printQuery(token))
	s.runUnchecked(s.now + 2000)
	s.inspector.checkReplied()
	s.inspector.checkRuns(s)
	return s.inspector.violations
}
