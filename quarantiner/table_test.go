package quarantiner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/quarantiner"
)

func ExampleTable() {
	t := quarantiner.New(1000)
	t.RecordLoss(0, "u1", "glasgow", []uint64{7, 8})
	t.RecordSuccess(10, 8)
	t.RecordLoss(20, "u2", "edinburgh", []uint64{7, 8})
	fmt.Println(t.Blocked(20, 7), t.Blocked(20, 8))
	// Output: true false
}

// Guards against blocking requests that were outstanding during an unrelated failure, and against admitting
// requests that crash upstreams.
func TestLosses(t *testing.T) {
	tests := []struct {
		name    string
		act     func(*quarantiner.Table)
		blocked bool
	}{
		{"two upstreams", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(10, "u2", "b", []uint64{1})
		}, true},
		{"one upstream twice", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(5000, "u1", "a", []uint64{1})
		}, false},
		{"success in between", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordSuccess(5, 1)
			q.RecordLoss(10, "u2", "b", []uint64{1})
		}, false},
		{"failure domain within 1 s", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(900, "u2", "a", []uint64{1})
		}, false},
		{"failure domain 1 s apart", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(1000, "u2", "a", []uint64{1})
		}, true},
		{"not outstanding at second loss", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(10, "u2", "b", []uint64{2})
		}, false},
		{"learned from another daemon", func(q *quarantiner.Table) {
			require.True(t, q.MergeRemote(0, quarantiner.Suspect{Digest: 1, Losses: 2, Expires: 5000}))
		}, true},
		{"losses attributed to blocked digest", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1, 2})
			q.RecordLoss(10, "u2", "b", []uint64{2})
			q.RecordLoss(20, "u3", "c", []uint64{1})
		}, false},
		{"blocked then domain failure", func(q *quarantiner.Table) {
			q.RecordLoss(0, "u1", "a", []uint64{1})
			q.RecordLoss(10, "u2", "b", []uint64{1})
			q.RecordLoss(20, "u3", "b", nil)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := quarantiner.New(10)
			test.act(q)
			require.Equal(t, test.blocked, q.Blocked(1000, 1))
			require.False(t, q.Blocked(1000+quarantiner.EntryTTLMillis, 1))
		})
	}
}

// The set of clean digests must stay bounded, expire its entries, and remove a digest with a loss.
func TestCleanDigests(t *testing.T) {
	q := quarantiner.New(100)
	for d := range uint64(1000) {
		q.RecordCompletion(0, d)
	}
	known := 0
	for d := range uint64(1000) {
		if q.Clean(1, d) {
			known++
		}
	}
	require.LessOrEqual(t, known, 100)
	require.True(t, q.Clean(1, 999))
	q.RecordLoss(1, "u", "a", []uint64{999})
	q.RecordSuccess(2, 999)
	require.False(t, q.Clean(2, 999))
	require.False(t, q.Clean(quarantiner.EntryTTLMillis, 998))
}

// The field boundaries must be part of the digest: requests whose concatenated fields are equal must have
// different digests.
func TestDigestSeparatesFields(t *testing.T) {
	a := quarantiner.Digest(tiller.Query{Service: "ab", Route: "c"})
	b := quarantiner.Digest(tiller.Query{Service: "a", Route: "bc"})
	require.NotEqual(t, a, b)
}

// Losses that several daemons saw of different upstreams must add up, and those of the same one must not.
func TestMergedLossesAddUp(t *testing.T) {
	q := quarantiner.New(10)
	q.RecordLoss(0, "u1", "a", []uint64{1})
	require.False(t, q.MergeLosses(1, 1, []string{"u1"}, 5000))
	require.False(t, q.Blocked(2, 1))
	require.False(t, q.MergeLosses(1, 1, []string{"u2"}, 0), "expired")
	require.True(t, q.MergeLosses(3, 1, []string{"u2"}, 5000))
	require.True(t, q.Blocked(4, 1))
	require.False(t, q.MergeLosses(5, 1, []string{"u3"}, 5000), "already blocked")
}
