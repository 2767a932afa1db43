package follower

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/accountant"
)

// An update of a few KiB may decompress to gigabytes. It must be given up at the memory limit.
func TestUpdateIsDecompressedWithinLimit(t *testing.T) {
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	require.NoError(t, err)
	for range 64 {
		_, err := z.Write(make([]byte, 1<<20))
		require.NoError(t, err)
	}
	require.NoError(t, z.Close())
	account := accountant.New(4<<20, func(int64) {})
	held := account.Open(func() {})
	_, err = decompress(b.Bytes(), held)
	require.ErrorIs(t, err, accountant.ErrLimit)
	held.Release()
	require.Zero(t, account.Held())

	b.Reset()
	z.Reset(&b)
	_, err = z.Write([]byte("update"))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	data, err := decompress(b.Bytes(), account.Open(func() {}))
	require.NoError(t, err)
	require.Equal(t, "update", string(data))
}
