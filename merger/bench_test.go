package merger_test

import (
	"math/rand/v2"
	"testing"

	"github.com/carawaytiller/carawaytiller/merger"
)

// BenchmarkRecords merges 50 records from each of 45 shards, the load of one gathering daemon in a large fleet.
func BenchmarkRecords(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	parts := make([][]byte, 45)
	for i := range parts {
		records := make([]byte, 50*merger.RecordBytes)
		for j := range records {
			records[j] = byte(r.Uint32())
		}
		parts[i] = merger.Top(records, 50)
	}
	b.ReportAllocs()
	for range b.N {
		all := merger.NewRecords(50)
		for _, part := range parts {
			all.Add(part)
		}
	}
}
