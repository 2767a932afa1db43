package merger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

func ExampleItems() {
	items := merger.Items([]merger.Part{
		{Shard: "s1", Answered: true, Items: []tiller.Item{{Key: "a", Score: 3}, {Key: "b", Score: 1}}},
		{Shard: "s2", Answered: true, Items: []tiller.Item{{Key: "c", Score: 2}}},
	}, 2)
	fmt.Println(items[0].Key, items[1].Key)
	// Output: a c
}

// Guards against lost, duplicated or misordered items, against items of unanswered shards, and against a merge
// that modifies the upstreams' lists.
func TestItemsEqualSortedUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		item := rapid.Custom(func(t *rapid.T) tiller.Item {
			return tiller.Item{
				Key:   rapid.StringMatching("[a-d]{1,2}").Draw(t, "key"),
				Score: float64(rapid.IntRange(0, 5).Draw(t, "score")),
			}
		})
		limit := rapid.IntRange(0, 30).Draw(t, "limit")
		best := map[string]float64{}
		var parts []merger.Part
		for range rapid.IntRange(0, 8).Draw(t, "parts") {
			p := merger.Part{Answered: rapid.Bool().Draw(t, "answered"), Items: rapid.SliceOf(item).Draw(t, "items")}
			parts = append(parts, p)
			for _, i := range p.Items {
				if score, ok := best[i.Key]; p.Answered && (!ok || i.Score > score) {
					best[i.Key] = i.Score
				}
			}
		}
		before := fmt.Sprint(parts)
		got := merger.Items(parts, limit)
		require.Equal(t, before, fmt.Sprint(parts))
		want := len(best)
		if limit > 0 {
			want = min(want, limit)
		}
		require.Len(t, got, want)
		for i, g := range got {
			require.Equal(t, best[g.Key], g.Score)
			require.True(t, i == 0 || got[i-1].Score > g.Score || got[i-1].Score == g.Score && got[i-1].Key < g.Key)
			delete(best, g.Key)
		}
		for key, score := range best {
			require.False(t, len(got) > 0 && score > got[len(got)-1].Score, key)
		}
	})
}

// An incomplete answer looks complete when a shard without a result is left out of Missing.
func TestCoverageListsEveryMissingShard(t *testing.T) {
	c := merger.Coverage([]merger.Part{
		{Shard: "s3", Reason: tiller.ReasonTimeout},
		{Shard: "s1", Answered: true},
		{Shard: "s2", Reason: tiller.ReasonShed},
	})
	require.Equal(t, tiller.Coverage{Asked: 3, Answered: 1, Missing: []tiller.MissingShard{
		{Shard: "s2", Reason: tiller.ReasonShed}, {Shard: "s3", Reason: tiller.ReasonTimeout},
	}}, c)
}
