package messenger

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// FuzzDecode guards against a message that crashes the decoder, and against one whose meaning changes
// when it is decoded, encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, v := range []any{
		forwardRequest{From: 1, To: 2, Query: tiller.Query{ID: "q", Caller: "c", Service: "s", Body: []byte("{}"), Repeatable: true}, RemainingMillis: 400},
		forwardReply{Result: tiller.Result{Answer: &tiller.Answer{ID: "q", Items: []tiller.Item{{Key: "k", Score: 0.5, Body: []byte("{}")}}}}},
		notice{From: 1, To: 2, Leases: []tracker.Message{{Kind: tracker.Grant, Suspects: []tracker.Suspect{{Digest: 1, Losses: 1, Expires: 9}}}}},
		notice{Leaving: &Leaving{Seat: 1}, Digest: &RevisionDigest{Revisions: map[string]int64{"d": 1}}, Push: &RevisionPush{Value: []byte{1}}},
	} {
		b, err := encode(v)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		requireStableReencoding(t, b, &forwardRequest{}, &forwardRequest{})
		requireStableReencoding(t, b, &forwardReply{}, &forwardReply{})
		requireStableReencoding(t, b, &notice{}, &notice{})
	})
}

// requireStableReencoding decodes b into first, encodes it, decodes that into second and encodes it again.
// Both encodings must have the same length.
func requireStableReencoding(t *testing.T, b []byte, first, second any) {
	if decode(b, first) != nil {
		return
	}
	encoded, err := encode(first)
	if err != nil {
		require.ErrorIs(t, err, errTooLarge)
		return
	}
	require.NoError(t, decode(encoded, second))
	reencoded, err := encode(second)
	require.NoError(t, err)
	require.Len(t, reencoded, len(encoded))
}
