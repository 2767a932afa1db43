package gatherer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
)

// Extra requests go to other regions, and their replies are most of the traffic between regions. The replies
// must omit records that cannot be among the greatest, and the answers must not change.
func TestExtraRepliesOmitRecordsBelowThreshold(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 31)
	sim.requireTopRecords(func(int) byte { return byte(sim.random.Uint32()) })
	parts, records := 0, 0
	for _, r := range sim.extraReplies {
		parts += len(r.Parts)
		records += len(r.Records) / merger.RecordBytes
	}
	require.Greater(t, parts, 100)
	// Without the threshold each of the 20 shards sends five records, and only the five greatest of all are in
	// the answer. With it, a shard must send less than half of the five on average.
	require.Less(t, float64(records)/float64(parts), 5.0/2)
}

// When all records of the answer come from one shard, the threshold of a daemon that gathers for another one
// can be the least record of the answer. The daemon's own reply must then contain that record.
func TestReplyIncludesThresholdRecord(t *testing.T) {
	t.Parallel()
	for shard := range 4 {
		sim := newSimulation(t, 32)
		sim.requireTopRecords(func(i int) byte {
			if i == shard {
				return 255
			}
			return byte(sim.random.Uint32() % 255)
		})
	}
}

// requireTopRecords sends queries to upstreams that hold random records, pause and reset connections, so that
// extra requests are sent. It compares each answer with the greatest records of the parts that the answer
// lists. first returns the first byte of each record of a shard.
func (sim *simulation) requireTopRecords(first func(shard int) byte) {
	for i := range shardCount {
		records := make([]byte, 8*merger.RecordBytes)
		for b := range records {
			records[b] = byte(sim.random.Uint32())
			if b%merger.RecordBytes == 0 {
				records[b] = first(i)
			}
		}
		for _, s := range sim.sortedUpstreams() {
			if s.Service == shardName(i) {
				s.records, s.resetRate = records, 0.03
			}
		}
	}
	sim.pauseUpstreams(3000)
	sim.scheduleLoad(11000, 60, "/q/1")
	sim.runUntil(14000)
	answers := 0
	for id, o := range sim.outcomes {
		all := merger.NewRecords(5)
		for _, stamp := range o.stamps {
			s := sim.upstreams[strings.TrimPrefix(strings.TrimPrefix(stamp, "sub of "), id)]
			require.NotNil(sim.t, s, stamp)
			all.Add(s.records)
		}
		require.Equal(sim.t, all.Bytes(), append([]byte{}, o.records...))
		if o.parts == shardCount {
			answers++
		}
	}
	require.Greater(sim.t, answers, len(sim.outcomes)/2)
}
