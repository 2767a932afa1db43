package sampler_test

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// TestRecords guards against duplicate keys, shards without records, too few different contents, and records
// that differ between calls.
func TestRecords(t *testing.T) {
	for _, deployment := range []string{sampler.Guild, sampler.Lochan} {
		records := sampler.Records(deployment)
		require.Equal(t, records, sampler.Records(deployment))
		type id struct{ service, snapshot, name string }
		keys, shards, contents := map[id]bool{}, map[id]int{}, map[string]bool{}
		for _, r := range records {
			require.False(t, keys[id{r.Service, r.Snapshot, r.Key}], "key %s twice", r.Key)
			keys[id{r.Service, r.Snapshot, r.Key}] = true
			shards[id{r.Service, r.Snapshot, r.Shard}]++
			contents[r.Key] = true
		}
		require.GreaterOrEqual(t, len(contents), 200)
		for _, s := range document(deployment).Services {
			for _, snapshot := range s.Snapshots {
				for _, shard := range snapshot.Shards {
					require.Positive(t, shards[id{s.Name, snapshot.Name, shard.Name}], "%s %s", s.Name, shard.Name)
				}
			}
		}
	}
}

// TestSearchOfShardsEqualsSearchOfSnapshot guards against a reference answer that depends on how records
// are assigned to shards, on equal scores or on the order of items.
func TestSearchOfShardsEqualsSearchOfSnapshot(t *testing.T) {
	records := sampler.Records(sampler.Lochan)
	body := []byte(`{"Terms": ["Bridging pay", "notice period", "bridging  pay"], "Exclude": ["overtime"]}`)
	doc := document(sampler.Lochan)
	service, _ := doc.Service("case-files")
	for _, snapshot := range service.Snapshots {
		whole, err := sampler.Search(records, "case-files", snapshot.Name, "", body, 0)
		require.NoError(t, err)
		require.Greater(t, len(whole), 10)

		var merged []tiller.Item
		for _, shard := range snapshot.Shards {
			items, err := sampler.Search(records, "case-files", snapshot.Name, shard.Name, body, 0)
			require.NoError(t, err)
			merged = append(merged, items...)
		}
		slices.SortFunc(merged, func(a, b tiller.Item) int {
			if a.Score > b.Score {
				return -1
			}
			return 1
		})
		require.Equal(t, whole, merged)
		for i, item := range whole {
			requireMatch(t, snapshot.Name, item)
			require.True(t, i == 0 || whole[i-1].Score > item.Score, "two items of score %v", item.Score)
		}
		limited, err := sampler.Search(records, "case-files", snapshot.Name, "", body, 3)
		require.NoError(t, err)
		require.Equal(t, whole[:3], limited)
	}
}

// requireMatch requires that the snapshot and the score of item agree with its body in a search for the terms
// "bridging pay" and "notice period" that excludes "overtime".
func requireMatch(t *testing.T, snapshot string, item tiller.Item) {
	var result sampler.Result
	require.NoError(t, json.Unmarshal(item.Body, &result))
	require.Equal(t, snapshot, result.Snapshot)
	require.NotContains(t, result.Text, "overtime")
	want := 0
	for _, term := range []string{"bridging pay", "notice period"} {
		if strings.Contains(result.Text, term) {
			want++
		}
	}
	require.InDelta(t, float64(want)+0.25, item.Score, 0.25)
	require.Positive(t, want)
}

// TestSearchRejectsInvalidRequests guards against an invalid request that gets an empty answer instead of an error.
func TestSearchRejectsInvalidRequests(t *testing.T) {
	records := sampler.Records(sampler.Guild)
	const validBody = `{"Terms": ["sesame"]}`
	tests := []struct {
		service, snapshot, shard, body string
		want                           tiller.Reason
	}{
		{"label-printer", "2026-03-01", "shard-01", `{"Terms": [" "]}`, tiller.ReasonBadRequest},
		{"label-printer", "2026-03-01", "shard-01", `{"Terms": ["sesame"], "Exlude": ["nuts"]}`, tiller.ReasonBadRequest},
		{"label-printer", "2026-03-01", "shard-01", validBody + validBody, tiller.ReasonBadRequest},
		{"label-press", "2026-03-01", "shard-01", validBody, tiller.ReasonUnknownService},
		{"label-printer", "2026-03-08", "shard-01", validBody, tiller.ReasonNoSnapshot},
		{"label-printer", "2026-03-01", "shard-13", validBody, tiller.ReasonNoShard},
	}
	for _, test := range tests {
		_, err := sampler.Search(records, test.service, test.snapshot, test.shard, []byte(test.body), 0)
		var failure *tiller.Failure
		require.True(t, errors.As(err, &failure))
		require.Equal(t, tiller.NotRun, failure.Verdict)
		require.Equal(t, test.want, failure.Reason, test.body)
	}
}

// TestAllergensFollowFromIngredients guards against a sample record that lacks an allergen of one of its ingredients.
func TestAllergensFollowFromIngredients(t *testing.T) {
	for _, r := range sampler.Records(sampler.Guild) {
		for ingredient, allergen := range map[string]string{"tahini": "sesame", "barley": "gluten", "tofu": "soy"} {
			if slices.Contains(r.Fields["Ingredients"], ingredient) {
				require.Contains(t, r.Fields["Allergens"], allergen, r.Key)
			}
		}
	}
}
