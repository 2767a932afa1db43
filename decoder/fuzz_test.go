package decoder_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/decoder"
)

// FuzzDecodeDocument looks for inputs that make the decoder panic, that give a fault positioned outside the input,
// or whose document changes when it is encoded and decoded again.
func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, faults := decoder.DecodeDocument("d", text)
		require.Equal(t, len(faults) > 0, doc == nil)
		requirePositionsInText(t, text, faults)
		if doc == nil {
			return
		}
		encoded, err := decoder.Encode(doc)
		require.NoError(t, err)
		redecoded, faults := decoder.DecodeDocument("e", encoded)
		require.Empty(t, faults)
		require.Equal(t, doc, redecoded)
		require.Empty(t, decoder.Diff(doc, redecoded))
	})
}

// FuzzDecodeSettings looks for inputs that make the decoder panic or that give a fault positioned outside the input.
func FuzzDecodeSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, faults := decoder.DecodeSettings("s", text)
		requirePositionsInText(t, text, faults)
	})
}

// requirePositionsInText requires that faults are ordered by position and that each position is in text or at the end
// of a line.
func requirePositionsInText(t *testing.T, text []byte, faults decoder.Faults) {
	lines := bytes.Split(text, []byte("\n"))
	line, column := 0, 0
	for _, fault := range faults {
		require.NotEmpty(t, fault.Field)
		require.NotEmpty(t, fault.Reason)
		require.Positive(t, fault.Column)
		require.LessOrEqual(t, fault.Line, len(lines))
		require.LessOrEqual(t, fault.Column, len(lines[fault.Line-1])+1)
		require.True(t, fault.Line > line || (fault.Line == line && fault.Column >= column), "order of %s", fault)
		line, column = fault.Line, fault.Column
	}
}
