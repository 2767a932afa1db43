package cataloger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/cataloger"
)

// Guards against routing a request to the service of a shorter prefix or of another host.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := cataloger.New(3, cataloger.Limits{}, []cataloger.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil)
	for _, tt := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:8080", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/1", "other"},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/x", ""},
	} {
		r, ok := c.Match(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, tt)
		require.Equal(t, tt.want, r.Name, tt)
	}
}

// Guards against rounding the required number of shards down, which would accept an answer below the
// required coverage.
func TestMinShardsRoundsUp(t *testing.T) {
	for _, tt := range []struct {
		shards int
		share  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {90, 0.95, 86}, {90, 0.85, 77}, {20, 0.9, 18}, {3, 0, 1}, {10, 1, 10}} {
		r := cataloger.Route{Shards: make([]string, tt.shards), MinCoverage: tt.share}
		require.Equal(t, tt.want, r.MinShards(), tt)
	}
}

func TestAllows(t *testing.T) {
	require.True(t, cataloger.Route{}.Allows("north"))
	require.True(t, cataloger.Route{Regions: []string{"north"}}.Allows("north"))
	require.False(t, cataloger.Route{Regions: []string{"north"}}.Allows("south"))
}
