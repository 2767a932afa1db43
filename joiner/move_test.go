package joiner

import (
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// Guards against a final state that is written to another rollout or replaces an earlier final state,
// and against the loss of comments in the document.
func TestWithMoveState(t *testing.T) {
	doc := sampler.Document(sampler.Guild, func(string) string { return "10.0.0.1:1" })
	doc.Services, doc.Upstreams = doc.Services[:1], doc.Upstreams[:2]
	doc.Upstreams[1].Address = "10.0.0.2:1"
	doc.Upstreams[1].Version = "2"
	for _, name := range []string{"first", "second"} {
		doc.Moves = append(doc.Moves, tiller.Move{
			Name: name, Service: "recipe-desk-01", From: "1.0.0", To: "2", StartAt: 1, FinishBy: 2, CanaryPercent: 5,
		})
	}
	doc.Moves[0].State = tiller.MoveDone
	text, err := decoder.Encode(doc)
	require.NoError(t, err)
	commented := "// Written by hand.\n" + string(text)

	got, isOpen, err := withMoveState(commented, "second", tiller.MoveTakenBack)
	require.NoError(t, err)
	require.True(t, isOpen)
	require.Contains(t, got, "// Written by hand.\n")
	want := *doc
	want.Moves = append([]tiller.Move(nil), doc.Moves...)
	want.Moves[1].State = tiller.MoveTakenBack
	decoded, err := decodeDocument(got)
	require.NoError(t, err)
	require.Empty(t, decoder.Diff(&want, decoded))

	for _, move := range []string{"first", "unknown"} {
		_, isOpen, err = withMoveState(commented, move, tiller.MoveTakenBack)
		require.NoError(t, err)
		require.False(t, isOpen, move)
	}
}
