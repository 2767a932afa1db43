package reducer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// replies applies a change to each reply.
func replies(change func(*reducer.Reply)) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for i, e := range effects {
			if r, ok := e.(reducer.Reply); ok {
				change(&r)
				effects[i] = r
			}
		}
		return effects
	}
}

func answers(change func(*tiller.Answer)) func([]reducer.Effect) []reducer.Effect {
	return replies(func(r *reducer.Reply) {
		if r.Result.Answer != nil {
			changed := *r.Result.Answer
			change(&changed)
			r.Result.Answer = &changed
		}
	})
}

// doubled sends each attempt again under other identifiers.
func doubled(times int) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for _, a := range effectsOf[reducer.SendAttempt](effects) {
			for i := range times {
				a.Request.Attempt += tiller.AttemptID(1_000_000 * (i + 1))
				effects = append(effects, a)
			}
		}
		return effects
	}
}

func attempts(change func(*reducer.SendAttempt)) func([]reducer.Effect) []reducer.Effect {
	return func(effects []reducer.Effect) []reducer.Effect {
		for i, e := range effects {
			if a, ok := e.(reducer.SendAttempt); ok {
				change(&a)
				effects[i] = a
			}
		}
		return effects
	}
}

// Each check of the inspector must fail on the fault that it is there for; a check that cannot fail proves nothing.
func TestInspectorFindsPlantedFaults(t *testing.T) {
	tests := []struct {
		name   string
		tamper func([]reducer.Effect) []reducer.Effect
		want   string
	}{
		{"one shard too many", answers(func(a *tiller.Answer) { a.Coverage.Answered++ }), "coverage"},
		{"missing shard left out", answers(func(a *tiller.Answer) { a.Coverage.Missing = nil }), "coverage"},
		{"missing shard without a reason", answers(func(a *tiller.Answer) {
			a.Coverage.Missing = append([]tiller.MissingShard{}, a.Coverage.Missing...)
			for i := range a.Coverage.Missing {
				a.Coverage.Missing[i].Reason = ""
			}
		}), "coverage"},
		{"item of another snapshot", answers(func(a *tiller.Answer) {
			a.Items = append([]tiller.Item{}, a.Items...)
			a.Items[0].Key = "n2/s0/a"
		}), "snapshot"},
		{"items out of order", answers(func(a *tiller.Answer) { a.Items = append([]tiller.Item{a.Items[1]}, a.Items...) }), "items"},
		{"answer of another snapshot", answers(func(a *tiller.Answer) { a.Snapshot = "n2" }), "coverage"},
		{"limit passed", doubled(4), "limit"},
		{"cold allowance passed", doubled(1), "cold"},
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
		{"reply to another daemon", replies(func(r *reducer.Reply) { r.To = 6 }), "reply"},
		{"no reply", func(effects []reducer.Effect) []reducer.Effect {
			kept := effects[:0]
			for _, e := range effects {
				if _, ok := e.(reducer.Reply); !ok {
					kept = append(kept, e)
				}
			}
			return kept
		}, "reply: none"},
		{"NotRun though it may have run", replies(func(r *reducer.Reply) {
			if r.Result.Refusal != nil {
				changed := *r.Result.Refusal
				changed.Verdict = tiller.NotRun
				r.Result.Refusal = &changed
			}
		}), "verdict"},
		{"sent to a domain that is out", attempts(func(a *reducer.SendAttempt) { a.Upstream = "u1" }), "closed"},
		{"sent to a leaving upstream", attempts(func(a *reducer.SendAttempt) { a.Upstream = "u3" }), "closed"},
		{"sent to a draining upstream", attempts(func(a *reducer.SendAttempt) { a.Upstream = "u2" }), "draining"},
		{"sent without a lease", attempts(func(a *reducer.SendAttempt) { a.ValidUntil = 0 }), "lease"},
		{"single-use request sent twice", doubled(1), "token"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faults := plantedRun(t, nil)
			require.Empty(t, faults)
			faults = plantedRun(t, test.tamper)
			found := false
			for _, f := range faults {
				found = found || strings.Contains(f, test.want)
			}
			require.True(t, found, "%q is not among %q", test.want, faults)
		})
	}
}

// plantedRun runs a little of everything that the inspector checks and returns the faults found.
func plantedRun(t *testing.T, tamper func([]reducer.Effect) []reducer.Effect) []string {
	c := cluster{shards: 8, upstreams: 8, replicas: 1, slots: 4, coldSlots: 1, domains: 8, change: func(d *tiller.Document) {
		d.Domains[1].Out = true
		d.Upstreams[3].Leaving = true
		d.Services[0].NeededCoverage = 0.5
	}}
	s := newSim(t, 1, c.document(), reducer.Config{})
	s.upstreams["u5"].silent = true
	s.step(reducer.LoadReported{Stamp: s.stamp(), Upstream: "u2", Draining: true})
	s.step(reducer.UpstreamRestarted{Stamp: s.stamp(), Upstream: "u4"})
	token := s.token()
	s.tamper = tamper
	for range 3 {
		q := s.search("c", 1000)
		q.Body = []byte("same")
		s.ask(q)
		q.NeededCoverage = 1
		s.ask(q)
		s.runAgenda(s.now + 2000)
	}
	s.ask(s.print(token))
	s.runAgenda(s.now + 2000)
	s.inspect.checkReplied()
	s.inspect.checkRuns(s)
	return s.inspect.faults
}
