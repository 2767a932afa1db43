package follower_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/follower"
	"github.com/carawaytiller/carawaytiller/platform"
)

func put(t *follower.Table, key string, revision int64) bool {
	return t.Apply(platform.Item{Key: key, Revision: revision})
}

// at returns a revision of the first era.
func at(revision int64) platform.Position { return platform.Position{Revision: revision} }

// Guards against answers of the store that arrive out of order: an older state of a key must not
// replace a newer one.
func TestTableIgnoresOlderStates(t *testing.T) {
	table := follower.NewTable()
	require.True(t, put(table, "a", 5))
	require.False(t, put(table, "a", 5))
	require.False(t, put(table, "a", 4))
	require.False(t, table.Apply(platform.Item{Key: "a", Revision: 3, Deleted: true}))
	require.True(t, table.Apply(platform.Item{Key: "a", Revision: 6, Deleted: true}))
	require.False(t, table.Apply(platform.Item{Key: "a", Revision: 7, Deleted: true}))
}

// A daemon that follows another one receives each change once, and all entries if the changes are no
// longer kept.
func TestTableSince(t *testing.T) {
	table := follower.NewTable()
	put(table, "a", 2)
	put(table, "b", 3)
	table.Advance(at(3))
	update, changed := table.Since(at(2))
	require.False(t, update.Whole)
	require.Len(t, update.Items, 1)
	require.EqualValues(t, 3, update.Revision)

	update, _ = table.Since(at(3))
	require.Empty(t, update.Items)
	put(table, "c", 4)
	select {
	case <-changed:
		t.Fatal("Since signalled a change before Advance")
	default:
	}
	table.Advance(at(4))
	<-changed

	update, _ = table.Since(at(0))
	require.True(t, update.Whole)
	require.Len(t, update.Items, 3)

	table.Reset(10)
	put(table, "d", 11)
	table.Advance(at(11))
	update, _ = table.Since(at(4))
	require.True(t, update.Whole, "changes up to revision 10 were missed")
	update, _ = table.Since(at(10))
	require.False(t, update.Whole)
}

// The number of changes kept is limited.
func TestTableBoundsChanges(t *testing.T) {
	table := follower.NewTable()
	for i := range 3000 {
		put(table, fmt.Sprint(i%10), int64(i+1))
	}
	table.Advance(at(3000))
	update, _ := table.Since(at(1))
	require.True(t, update.Whole)
	require.Len(t, update.Items, 10)
	update, _ = table.Since(at(2990))
	require.False(t, update.Whole)
	require.Len(t, update.Items, 10)
}

// Entries that are missing from a complete read were removed, unless they are newer than the read.
func TestTableMissing(t *testing.T) {
	table := follower.NewTable()
	put(table, "kept", 2)
	put(table, "removed", 3)
	put(table, "newer", 9)
	require.Equal(t, []string{"removed"}, table.Missing(map[string]bool{"kept": true}, 5))
}
