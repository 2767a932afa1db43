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

// Answers of the store may cross: an older state of a key must not replace a newer one.
func TestTableIgnoresOlderStates(t *testing.T) {
	table := follower.NewTable()
	require.True(t, put(table, "a", 5))
	require.False(t, put(table, "a", 5))
	require.False(t, put(table, "a", 4))
	require.False(t, table.Apply(platform.Item{Key: "a", Revision: 3, Deleted: true}))
	require.True(t, table.Apply(platform.Item{Key: "a", Revision: 6, Deleted: true}))
	require.False(t, table.Apply(platform.Item{Key: "a", Revision: 7, Deleted: true}))
}

// A daemon that follows another gets each change once, and everything when changes are not known
// any more.
func TestTableSince(t *testing.T) {
	table := follower.NewTable()
	put(table, "a", 2)
	put(table, "b", 3)
	table.Advance(3)
	update, changed := table.Since(2)
	require.False(t, update.Whole)
	require.Len(t, update.Items, 1)
	require.EqualValues(t, 3, update.Revision)

	update, _ = table.Since(3)
	require.Empty(t, update.Items)
	put(table, "c", 4)
	select {
	case <-changed:
		t.Fatal("a change that is not complete was announced")
	default:
	}
	table.Advance(4)
	<-changed

	update, _ = table.Since(0)
	require.True(t, update.Whole)
	require.Len(t, update.Items, 3)

	table.Reset(10)
	put(table, "d", 11)
	table.Advance(11)
	update, _ = table.Since(4)
	require.True(t, update.Whole, "changes up to revision 10 were missed")
	update, _ = table.Since(10)
	require.False(t, update.Whole)
}

// The history of changes is bounded.
func TestTableBoundsChanges(t *testing.T) {
	table := follower.NewTable()
	for i := range 3000 {
		put(table, fmt.Sprint(i%10), int64(i+1))
	}
	table.Advance(3000)
	update, _ := table.Since(1)
	require.True(t, update.Whole)
	require.Len(t, update.Items, 10)
	update, _ = table.Since(2990)
	require.False(t, update.Whole)
	require.Len(t, update.Items, 10)
}

// Entries that are missing from a whole read have been removed, unless they are newer than it.
func TestTableMissing(t *testing.T) {
	table := follower.NewTable()
	put(table, "kept", 2)
	put(table, "removed", 3)
	put(table, "newer", 9)
	require.Equal(t, []string{"removed"}, table.Missing(map[string]bool{"kept": true}, 5))
}
