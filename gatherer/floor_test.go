package gatherer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/merger"
)

// Second requests go to other regions, and their replies are most of the bytes between regions. Records that
// cannot be among the greatest must stay there, and the answers must be the same.
func TestFurtherRepliesLeaveUselessRecordsOut(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 31)
	all := merger.NewRecords(5)
	for i := range shards {
		records := make([]byte, 8*merger.RecordBytes)
		for b := range records {
			records[b] = byte(w.random.Uint32())
		}
		all.Add(records)
		for _, s := range w.sorted() {
			if s.Service == shardName(i) {
				s.records = records
				s.pauseEvery, s.pause, s.pausePhase = 3000, 250, tiller.Millis(w.random.IntN(3000))
			}
		}
	}
	w.load(11000, 60, "/q/1")
	w.run(14000)
	answers := 0
	for _, o := range w.outcomes {
		if o.parts == shards {
			answers++
			require.Equal(t, all.Bytes(), o.records)
		}
	}
	require.Greater(t, answers, len(w.outcomes)/2)
	parts, records := 0, 0
	for _, r := range w.further {
		parts += len(r.Parts)
		records += len(r.Records) / merger.RecordBytes
	}
	require.Greater(t, parts, 100)
	// A shard has five records to send, of which one in four is among the five greatest of all.
	require.Less(t, float64(records)/float64(parts), 5.0/2)
}
