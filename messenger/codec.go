package messenger

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of the decoder. Without them, a message of MaxMessageBytes could hold a million items of a few
// bytes each, which take far more memory than the message.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
)

var (
	errTooLarge     = errors.New("message exceeds 1 MiB")
	errEmptyMessage = errors.New("empty message")

	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		MaxNestedLevels:   maxNestedLevels,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns a message with its version byte. It returns errTooLarge if that exceeds MaxMessageBytes.
func encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(b)+1 > MaxMessageBytes {
		return nil, errTooLarge
	}
	return append([]byte{Version}, b...), nil
}

// decode decodes a message with its version byte into v.
func decode(b []byte, v any) error {
	if len(b) == 0 {
		return errEmptyMessage
	}
	if len(b) > MaxMessageBytes {
		return errTooLarge
	}
	if b[0] != Version {
		return errors.Errorf("unknown message version %d, want %d", b[0], Version)
	}
	if err := decoder.Unmarshal(b[1:], v); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}

// readMessage reads a stream to its end. It returns errTooLarge if the stream exceeds MaxMessageBytes.
func readMessage(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	if len(b) > MaxMessageBytes {
		return nil, errTooLarge
	}
	return b, nil
}
