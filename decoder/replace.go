package decoder

import (
	"strconv"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// ReplaceEnvironment returns text with the value of its Environment field replaced and every other byte unchanged.
// It fails if text is not a well-formed JSON object or has no such field.
func ReplaceEnvironment(text []byte, environment string) ([]byte, error) {
	r := newReader("", "Document", text)
	tree, ok := r.parse(text)
	if !ok {
		return nil, errors.New(r.faults.String())
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return nil, errors.Errorf("want an object, have %s", describeKind(tree))
	}
	for _, member := range object.Members {
		if member.Name.Value.(hujson.Literal).String() == "Environment" {
			return splice(text, member.Value, strconv.Quote(environment)), nil
		}
	}
	return nil, errors.New("no field Environment")
}

// splice returns a copy of text with the bytes of v replaced by replacement.
func splice(text []byte, v hujson.Value, replacement string) []byte {
	out := make([]byte, 0, len(text)+len(replacement))
	out = append(out, text[:v.StartOffset]...)
	out = append(out, replacement...)
	return append(out, text[v.EndOffset:]...)
}
