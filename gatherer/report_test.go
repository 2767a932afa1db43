package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

// reporter is a daemon of which the reports are recorded.
type reporter struct {
	t     *testing.T
	state *gatherer.State
	// sentAt holds the times of the reports by recipient.
	sentAt map[string][]tiller.Millis
}

func newReporter(t *testing.T) *reporter {
	return &reporter{t: t, state: gatherer.New(gatherer.Settings{VM: "vm-1", Region: "east"}), sentAt: make(map[string][]tiller.Millis)}
}

func (r *reporter) step(now tiller.Millis, e gatherer.Event) {
	for _, effect := range r.state.Step(now, e) {
		if sent, ok := effect.(gatherer.SendReport); ok {
			r.sentAt[sent.Member.VM] = append(r.sentAt[sent.Member.VM], now)
		}
	}
	require.Empty(r.t, r.state.UnscheduledWork(now))
}

// run fires the timers that are due up to a time.
func (r *reporter) run(until tiller.Millis) {
	for {
		at, ok := r.state.NextTimer()
		if !ok || at > until {
			return
		}
		r.step(at, gatherer.TimerFired{})
	}
}

func (r *reporter) joinPeers(now tiller.Millis) {
	var members []cataloger.Member
	for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
		members = append(members, cataloger.Member{VM: vm, Address: vm, Region: "east"})
	}
	r.step(now, gatherer.MembersChanged{Members: members})
}

// Guards against a report that is never sent again, because another daemon missed it at another time: a daemon did not
// learn that a request which crashes upstreams is blocked.
func TestReportsMissedAtDifferentTimesAreSentAgain(t *testing.T) {
	r := newReporter(t)
	r.joinPeers(1000)
	r.step(1000, gatherer.ReportReceived{Report: gatherer.Report{VM: "vm-2", Suspects: []gatherer.SuspectReport{
		{Digest: 7, Upstreams: []string{"i-1", "i-2"}, Expires: tiller.Minute},
	}}})
	r.run(1000)
	require.Equal(t, map[string][]tiller.Millis{"vm-2": {1000}, "vm-3": {1000}}, r.sentAt)
	r.step(1100, gatherer.ReportLost{VM: "vm-2"})
	r.step(1400, gatherer.ReportLost{VM: "vm-3"})
	r.run(10_000)
	require.Equal(t, map[string][]tiller.Millis{"vm-2": {1000, 3100}, "vm-3": {1000, 3400}}, r.sentAt)
}

// Guards against a daemon that has read the store before it knows of any other daemon and never asks the others what
// they know.
func TestStartedDaemonAsksDaemonsThatItLearnsOfLater(t *testing.T) {
	r := newReporter(t)
	r.step(1000, gatherer.StoreRead{})
	r.run(2000)
	r.joinPeers(2500)
	r.run(4000)
	asked := append(r.sentAt["vm-2"], r.sentAt["vm-3"]...)
	require.NotEmpty(t, asked)
	r.step(4000, gatherer.ReportReceived{Report: gatherer.Report{VM: "vm-2"}})
	r.run(10_000)
	require.Len(t, append(r.sentAt["vm-2"], r.sentAt["vm-3"]...), len(asked))
}
