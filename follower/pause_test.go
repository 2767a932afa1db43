package follower

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

// Several hundred upstreams change at once when the index is cut anew. A weak VM must serve queries between the
// changes, and must not be held up at its start, before it serves any.
func TestManyChangesLeaveRoomForQueries(t *testing.T) {
	pauses, changes := 0, 0
	f := New(tiller.SystemClock(), nil, nil, logr.Discard(), map[string]string{"a": "r"}, cataloger.Member{VM: "vm"}, nil, NewTiming(0), Callbacks{
		Emit: func(e gatherer.Event) {
			if _, ok := e.(gatherer.UpstreamChanged); ok {
				changes++
			}
		},
	})
	f.pause = func() {
		pauses++
		require.LessOrEqual(t, changes, pauses*applyBatch+800)
	}
	update := func(from int64) (items []platform.Item) {
		for i := range int64(800) {
			value := fmt.Sprintf(`{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready","Slots":%d}`, from)
			items = append(items, platform.Item{Key: platform.UpstreamPrefix() + fmt.Sprint(i), Value: []byte(value), Revision: from + i})
		}
		return items
	}
	f.applyAll(update(1), platform.Position{Revision: 800}, true)
	require.Zero(t, pauses)
	f.applyAll(update(801), platform.Position{Revision: 1600}, false)
	require.Equal(t, 1600, changes)
	require.Equal(t, 800/applyBatch, pauses)
}
