package gatherer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
)

// Second requests go to other regions, and their replies are most of the bytes between regions. Records that
// cannot be among the greatest must stay there, and the answers must be the same.
func TestFurtherRepliesLeaveUselessRecordsOut(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 31)
	sim.requireTopRecords(func(int) byte { return byte(sim.random.Uint32()) })
	parts, records := 0, 0
	for _, r := range sim.extraReplies {
		parts += len(r.Parts)
		records += len(r.Records) / merger.RecordBytes
	}
	require.Greater(t, parts, 100)
	// A shard has five records to send, of which one in four is among the five greatest of all.
	require.Less(t, float64(records)/float64(parts), 5.0/2)
}

// All records of the answer may come from few shards, so that the floor of a daemon that gathers for another
// one is that of the answer. Its own reply must hold the floor.
func TestFloorIsInTheReply(t *testing.T) {
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

// requireTopRecords lets upstreams with random records pause and reset connections, so that further
// requests are sent, and compares each answer with the greatest records of the parts that it names. first
// returns the first byte of a record of a shard.
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
