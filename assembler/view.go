package assembler

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/server"
)

// errNoStore is the error for requests for the stored document on a daemon without a store.
var errNoStore = server.NewOperatorError(tiller.NotRun, operator.ErrorReasonStoreDown, "this daemon has no store")

// status returns the state of the daemon for operators.
func (d *Daemon) status(context.Context) (*operator.Status, error) {
	var st reducer.Status
	now := d.cfg.Clock.Now()
	if err := d.runner.View(func() { st = d.state.Status(now) }); err != nil {
		return nil, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonInternal, err.Error())
	}
	out := &operator.Status{
		Seat:               st.Seat,
		Incarnation:        st.Incarnation,
		Environment:        st.Environment,
		Revision:           st.Revision,
		KnowledgeAgeMillis: int64(d.knowledgeAge(now)),
		Stopping:           d.isStopping.Load(),
		Units:              make([]operator.Unit, len(st.Units)),
		Upstreams:          make([]operator.UpstreamStatus, len(st.Upstreams)),
	}
	for i, u := range st.Units {
		out.Units[i] = operator.Unit{
			Service: u.ID.Service, Index: u.ID.Index, Owned: u.Owned, Owner: u.Owner, LeaseMillis: int64(u.Lease),
		}
	}
	for i, u := range st.Upstreams {
		out.Upstreams[i] = operator.UpstreamStatus{Name: u.Name, InFlight: u.InFlight, Limit: u.Limit, Cold: u.Cold}
	}
	return out, nil
}

func (d *Daemon) knowledgeAge(now tiller.Millis) tiller.Millis {
	if d.cfg.KnowledgeAge != nil {
		return d.cfg.KnowledgeAge()
	}
	return now - tiller.Millis(d.appliedAt.Load())
}

// explain returns the recorded decisions for a request.
func (d *Daemon) explain(_ context.Context, id tiller.RequestID) (*operator.Explanation, error) {
	var decisions []recorder.Decision
	if err := d.runner.View(func() { decisions = d.state.Explain(id) }); err != nil {
		return nil, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonInternal, err.Error())
	}
	if len(decisions) == 0 {
		return nil, server.NewOperatorError(tiller.NotRun, operator.ErrorReasonNotFound, "nothing is known of this request")
	}
	out := &operator.Explanation{ID: string(id), Decisions: make([]operator.Decision, len(decisions))}
	for i, decision := range decisions {
		out.Decisions[i] = encodeDecision(decision, decisions[0].At)
	}
	return out, nil
}

func encodeDecision(d recorder.Decision, start tiller.Millis) operator.Decision {
	out := operator.Decision{AtMillis: int64(d.At - start), What: string(d.Kind)}
	if d.Upstream != "" {
		out.Upstream = operator.NewOptString(d.Upstream)
	}
	if d.Reason != "" {
		out.Reason = operator.NewOptString(string(d.Reason))
	}
	return out
}
