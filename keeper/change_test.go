package keeper

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// outcome is the result of a change as the operator sees it.
type outcome struct {
	revision int64
	verdict  tiller.Verdict
	conflict bool
}

func accept(k *Keeper, c Change) outcome {
	revision, err := k.Accept(context.Background(), c)
	if err == nil {
		return outcome{revision: revision, verdict: tiller.Ran}
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return outcome{verdict: verdictOfConflict(err), conflict: true}
	}
	return outcome{verdict: verdictOf(err)}
}

func verdictOfConflict(err error) tiller.Verdict {
	var f *tiller.Failure
	if errors.As(err, &f) {
		return f.Verdict
	}
	return tiller.NotRun
}

// recordModel is the sequential specification of the stored document: a change takes effect
// only when the revision is the one that it expects.
var recordModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision := state.(int64)
		c, out := input.(Change), output.(outcome)
		switch {
		case out.verdict == tiller.Ran:
			return c.Expected == revision && out.revision == revision+1, revision + 1
		case out.conflict:
			return c.Expected != revision, revision
		case out.verdict == tiller.NotRun:
			return true, revision
		}
		// A change of unknown outcome is modelled as applied if its expected revision matches.
		if c.Expected == revision {
			return true, revision + 1
		}
		return true, revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentChanges guards against two changes accepted for one revision, a change reported as accepted
// that was not written, and the verdict NotRun for a change that took effect. Replies get lost,
// calls fail and reads are stale.
func TestConcurrentChanges(t *testing.T) {
	for seed := range uint64(200) {
		s := newMemoryStore(seed)
		s.lostReplyRate, s.failureRate, s.staleReadRate = 0.2, 0.2, 0.2
		ops := runConcurrentOperators(s, 3, 4)
		unknown := false
		for _, o := range ops {
			unknown = unknown || o.Output.(outcome).verdict == tiller.MayHaveRun
		}
		if !unknown {
			require.True(t, porcupine.CheckOperations(recordModel, ops), "seed %d", seed)
		}
		checkOutcomes(t, s, ops)
	}
}

// runConcurrentOperators runs several operators concurrently. Each makes the given number of changes in sequence.
func runConcurrentOperators(s *memoryStore, operators, changes int) []porcupine.Operation {
	var mu sync.Mutex
	var tick int64
	now := func() int64 {
		mu.Lock()
		defer mu.Unlock()
		tick++
		return tick
	}
	var ops []porcupine.Operation
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			for n := range changes {
				k := newKeeper(s, 40)
				c := Change{Environment: "trial", Operation: fmt.Sprintf("%d-%d", operator, n), Operator: fmt.Sprint(operator), Expected: int64(n), Text: "{}"}
				op := porcupine.Operation{ClientId: operator, Input: c, Call: now()}
				op.Output = accept(k, c)
				op.Return = now()
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return ops
}

func checkOutcomes(t require.TestingT, s *memoryStore, ops []porcupine.Operation) {
	written := map[string]int64{}
	for n, r := range s.writes {
		require.Equal(t, int64(n+1), r.Revision, "each write must increase the revision by one")
		last := r.Operations[len(r.Operations)-1]
		written[last.ID] = last.Revision
	}
	for _, o := range ops {
		c, out := o.Input.(Change), o.Output.(outcome)
		revision, ran := written[c.Operation]
		switch out.verdict {
		case tiller.Ran:
			require.Equal(t, revision, out.revision)
		case tiller.NotRun:
			require.False(t, ran, "change %s got the verdict NotRun but was written as revision %d", c.Operation, revision)
		}
	}
}

// TestCheckOutcomesFindsFalseNotRun verifies that checkOutcomes fails for a written change with the verdict NotRun.
func TestCheckOutcomesFindsFalseNotRun(t *testing.T) {
	s := newMemoryStore(1)
	c := Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"}
	out := accept(newKeeper(s, 5), c)
	out.verdict = tiller.NotRun
	require.Panics(t, func() {
		checkOutcomes(panickingT{}, s, []porcupine.Operation{{Input: c, Output: out}})
	})
}

// panickingT is a require.TestingT that panics when a check fails.
type panickingT struct{}

func (panickingT) Errorf(string, ...any) {}
func (panickingT) FailNow()              { panic("check failed") }

// TestLostReplyIsResolved guards against a change that is applied twice or reported as unknown when only the reply
// to the write was lost.
func TestLostReplyIsResolved(t *testing.T) {
	s := newMemoryStore(1)
	s.lostReplyRate = 1
	out := accept(newKeeper(s, 5), Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"})
	require.Equal(t, outcome{revision: 1, verdict: tiller.Ran}, out)
	require.Len(t, s.writes, 1)
}

// TestStoreDown guards against a change that is reported as accepted or unknown although every store call failed
// without effect.
func TestStoreDown(t *testing.T) {
	s := newMemoryStore(1)
	s.down = true
	out := accept(newKeeper(s, 5), Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"})
	require.Equal(t, outcome{verdict: tiller.NotRun}, out)
}

// TestClaimSeats guards against a seat held by two processes, a seat taken from a live VM, a claim by a VM
// that is not listed yet (others would treat that seat as free), and incarnations that do not grow.
func TestClaimSeats(t *testing.T) {
	s := newMemoryStore(3)
	s.lostReplyRate, s.failureRate = 0.2, 0.1
	for n := range 4 {
		s.vms = append(s.vms, VM{Name: fmt.Sprint("vm", n)})
	}
	order := SeatOrder(4, 2, 1, 0)
	require.Equal(t, []int{1, 3, 0, 2}, order)
	held := map[int]Claimant{}
	seats := map[int]Seat{}
	for n := range 4 {
		c := Claimant{VM: fmt.Sprint("vm", n), Nonce: fmt.Sprint(n)}
		seat := claim(t, s, c, order)
		require.NotContains(t, held, seat.Number)
		held[seat.Number], seats[seat.Number] = c, seat
	}
	s.vms = append(s.vms, VM{Name: "vm9"})
	s.lostReplyRate, s.failureRate = 0, 0
	waiting := Claimant{VM: "vm9", Nonce: "9"}
	_, err := newKeeper(s, 5).Claim(context.Background(), waiting, order)
	require.ErrorIs(t, err, ErrNoSeat)
	require.NoError(t, newKeeper(s, 5).Release(context.Background(), held[3], seats[3]))
	reclaimed := claim(t, s, waiting, order)
	require.Equal(t, 3, reclaimed.Number)
	require.Greater(t, reclaimed.Incarnation, seats[3].Incarnation)
	_, err = newKeeper(s, 5).Claim(context.Background(), Claimant{VM: "vm10", Nonce: "10"}, order)
	require.ErrorIs(t, err, ErrNotListed)
	s.vms = append(s.vms[1:], VM{Name: "vm10"})
	require.Equal(t, 1, claim(t, s, Claimant{VM: "vm10", Nonce: "10"}, order).Number, "seat 1 was held by the removed VM and must be free")
}

// claim retries Claim until it succeeds, and fails the test when every seat is held.
func claim(t *testing.T, s *memoryStore, c Claimant, order []int) Seat {
	for {
		seat, err := newKeeper(s, 20).Claim(context.Background(), c, order)
		if err == nil {
			return seat
		}
		require.NotErrorIs(t, err, ErrNoSeat)
	}
}

// TestClaimAfterLostReplyUsesNewLease guards against a seat that is lost 2 hours after its claim. A claim was
// written but its reply was lost, so Claim failed. The retried claim then renewed a new lease while the key
// still had the old one.
func TestClaimAfterLostReplyUsesNewLease(t *testing.T) {
	s := newMemoryStore(1)
	s.vms = []VM{{Name: "vm0"}}
	s.lostReplyRate = 1
	c := Claimant{VM: "vm0", Nonce: "0"}
	_, err := newKeeper(s, 0).Claim(context.Background(), c, []int{0})
	require.Error(t, err)
	s.lostReplyRate = 0
	seat := claim(t, s, c, []int{0})
	versions := s.entries["/carawaytiller/trial/seat/0"]
	require.Equal(t, seat.Lease, s.leases[versions[len(versions)-1].Version-1])

	holds := func() bool {
		held, err := newKeeper(s, 5).Holds(context.Background(), c, seat)
		require.NoError(t, err)
		return held
	}
	require.True(t, holds())
	s.staleReadRate = 1
	require.True(t, holds(), "a stale read must count as held")
	s.staleReadRate = 0
	s.vms = []VM{{Name: "vm1"}}
	other := Claimant{VM: "vm1", Nonce: "1", Address: "127.0.0.1:1"}
	claim(t, s, other, []int{0})
	require.False(t, holds())
	holder, held, err := newKeeper(s, 5).Holder(context.Background(), 0)
	require.NoError(t, err)
	require.True(t, held)
	require.Equal(t, other, holder)
}
