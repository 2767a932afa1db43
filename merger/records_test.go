package merger_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/merger"
)

// The merged records must be those of a full sort, whatever the order and number of parts,
// with equal records kept and remainders left out.
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
