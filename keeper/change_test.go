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

// outcome is what an operator was told of a change.
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

// recordModel is the sequential behaviour of the stored document: a change takes effect
// only at the revision that it expects.
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
		// An unknown outcome is linearized as a change that took effect if it could.
		if c.Expected == revision {
			return true, revision + 1
		}
		return true, revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestRacingOperators guards against two changes accepted for one revision, a change that is called
// accepted and is not there, and a NotRun for a change that took effect, with lost answers,
// failing calls and old reads.
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

// race runs a few operators at once, each of which makes some changes one after the other.
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
		require.Equal(t, int64(n+1), r.Revision, "revisions grow by one")
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
			require.False(t, ran, "NotRun for %s, which is revision %d", c.Operation, revision)
		}
	}
}

// TestCheckerFindsFalseNotRun shows that the check of the race test can fail.
func TestCheckOutcomesFindsFalseNotRun(t *testing.T) {
	s := newMemoryStore(1)
	c := Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"}
	out := accept(newKeeper(s, 5), c)
	out.verdict = tiller.NotRun
	require.Panics(t, func() {
		checkOutcomes(panickingT{}, s, []porcupine.Operation{{Input: c, Output: out}})
	})
}

type panickingT struct{}

func (panickingT) Errorf(string, ...any) {}
func (panickingT) FailNow()              { panic("check failed") }

// TestLostAnswerIsSettled guards against a change applied twice or called unknown when only the answer was lost.
func TestLostReplyIsResolved(t *testing.T) {
	s := newMemoryStore(1)
	s.lostReplyRate = 1
	out := accept(newKeeper(s, 5), Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"})
	require.Equal(t, outcome{revision: 1, verdict: tiller.Ran}, out)
	require.Len(t, s.writes, 1)
}

// TestStoreDown guards against a change called accepted or unknown while the store never took it.
func TestStoreDown(t *testing.T) {
	s := newMemoryStore(1)
	s.down = true
	out := accept(newKeeper(s, 5), Change{Environment: "trial", Operation: "a", Operator: "x", Text: "{}"})
	require.Equal(t, outcome{verdict: tiller.NotRun}, out)
}

// TestSeats guards against one seat claimed by two processes, a seat lost to a VM that lives, a claim that
// others take for that of a VM that is gone because the list lags, and incarnations that do not grow.
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
	require.Equal(t, 1, claim(t, s, Claimant{VM: "vm10", Nonce: "10"}, order).Number, "the VM that left held seat 1")
}

func claim(t *testing.T, s *memoryStore, c Claimant, order []int) Seat {
	for {
		seat, err := newKeeper(s, 20).Claim(context.Background(), c, order)
		if err == nil {
			return seat
		}
		require.NotErrorIs(t, err, ErrNoSeat)
	}
}

// TestClaimAfterFailureHoldsItsOwnLease guards against a seat that is lost 2 hours after its claim: the write of
// the claim took effect, its answer and the claim were lost, and the repeated claim renews another lease
// than that of the key.
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
	require.True(t, holds(), "an old read does not count")
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
