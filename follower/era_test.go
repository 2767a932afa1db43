package follower

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

// Guards against a daemon of an earlier version, which names no era, that receives all entries with every request.
func TestRequestWithoutEraReceivesChanges(t *testing.T) {
	f := newRestoredFleet(t)
	after := f.reader.table.Revision()
	f.register("i-new")
	require.NoError(t, f.reader.fetchChanges(f.ctx))
	w := httptest.NewRecorder()
	f.reader.ServeChanges(w, httptest.NewRequest(http.MethodGet, ChangesPath+"?stale=1000&after="+strconv.FormatInt(after, 10), nil))
	require.Equal(t, http.StatusOK, w.Code)
	want, err := f.reader.encode(platform.Position{Era: 1, Revision: after}, Update{
		Era: 1, Revision: after + 1, Items: []platform.Item{f.reader.table.Item("servers/i-new")},
	})
	require.NoError(t, err)
	require.Equal(t, want, w.Body.Bytes())
	for _, query := range []string{"", "after=x", "after=1&stale=1&era=x"} {
		w := httptest.NewRecorder()
		f.reader.ServeChanges(w, httptest.NewRequest(http.MethodGet, ChangesPath+"?"+query, nil))
		require.Equal(t, http.StatusBadRequest, w.Code, query)
	}
}

// Guards against changes that are newer than the revision of a complete read of a later era and that are not handed on
// to a daemon which has read the store at that revision.
func TestNewerChangesOutlastReturnFromCopy(t *testing.T) {
	table := NewTable()
	table.Apply(platform.Item{Key: "a", Revision: 50})
	table.Advance(platform.Position{Era: 1, Revision: 50})
	changed := table.Restore([]platform.Item{{Key: "b", Revision: 35}, {Key: "c", Revision: 20}}, platform.Position{Era: 2, Revision: 30})
	require.Len(t, changed, 3)
	table.Apply(platform.Item{Key: "b", Revision: 35})
	table.Advance(platform.Position{Era: 2, Revision: 35})
	update, _ := table.Since(platform.Position{Era: 2, Revision: 30})
	require.Equal(t, Update{Era: 2, Revision: 35, Items: []platform.Item{{Key: "b", Revision: 35}}}, update)
	update, _ = table.Since(platform.Position{Era: 1, Revision: 40})
	require.True(t, update.Whole)
	require.Len(t, update.Items, 2)
	update, _ = table.Since(platform.Position{Era: 3, Revision: 1})
	require.Empty(t, update.Items)
}

// The events of a return must leave room for queries between them, like those of many changes.
func TestReturnFromCopyLeavesRoomForQueries(t *testing.T) {
	k := newKnowledge(t)
	d := k.informed()
	pauses, emitted := 0, 0
	d.pause = func() { pauses++ }
	emit := d.emit
	d.emit = func(e gatherer.Event) {
		emit(e)
		emitted++
		require.LessOrEqual(t, emitted, (pauses+1)*applyBatch)
	}
	var items []platform.Item
	for i := range int64(300) {
		items = append(items, platform.Item{
			Key: fmt.Sprintf("servers/i-%d", i), Value: []byte(`{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready"}`), Revision: i + 1,
		})
	}
	d.applyAll(items, platform.Position{Era: 1, Revision: 300}, true)
	require.Equal(t, 300, len(d.upstreams))
	require.GreaterOrEqual(t, pauses, 300/applyBatch)
}
