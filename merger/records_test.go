package merger_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
)

// The merged records must equal the first records of a full sort, for any order and number of parts. Equal
// records are kept and trailing partial records are ignored.
func TestRecordsEqualFullSort(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		limit := r.IntN(60)
		got := merger.NewRecords(limit)
		var all [][]byte
		for range r.IntN(8) {
			var part []byte
			for range r.IntN(30) {
				record := make([]byte, merger.RecordBytes)
				record[0] = byte(r.IntN(4)) * 80
				record[15] = byte(r.IntN(3))
				all = append(all, record)
				part = append(part, record...)
			}
			got.Add(append(part, make([]byte, r.IntN(merger.RecordBytes))...))
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		require.Equal(t, string(want), string(got.Bytes()))
	}
}

// Leaving out records that do not exceed the threshold must not change the result.
func TestRecordsAboveThreshold(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		limit := r.IntN(20)
		part := func() []byte {
			records := make([]byte, r.IntN(30)*merger.RecordBytes)
			for i := 0; i < len(records); i += merger.RecordBytes {
				records[i] = byte(r.IntN(9))
			}
			return merger.Top(records, limit)
		}
		known, further := part(), part()
		full, filtered := merger.NewRecords(limit), merger.NewRecords(limit)
		full.Add(known)
		filtered.Add(known)
		threshold := filtered.Threshold()
		require.Equal(t, limit > 0 && len(known) == limit*merger.RecordBytes, threshold != nil)
		above := merger.Above(further, threshold)
		full.Add(further)
		filtered.Add(above)
		require.Equal(t, full.Bytes(), filtered.Bytes())
		for ; len(above) > 0 && threshold != nil; above = above[merger.RecordBytes:] {
			require.Positive(t, bytes.Compare(above[:merger.RecordBytes], threshold))
		}
	}
}
