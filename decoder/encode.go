package decoder

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Encode returns doc as canonical JSON: every field in the order of the Go structs, indented by tabs.
// DecodeDocument of the result gives an equal document. Encode fails only on a number that JSON cannot express.
func Encode(doc *tiller.Document) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "\t")
	if err := encoder.Encode(withoutNilLists(*doc)); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return b.Bytes(), nil
}

// withoutNilLists returns a copy of doc in which nil lists are empty, because null is not a list to the decoder.
func withoutNilLists(doc tiller.Document) tiller.Document {
	doc.Domains = list(doc.Domains, same)
	doc.Upstreams = list(doc.Upstreams, same)
	doc.Moves = list(doc.Moves, same)
	doc.Services = list(doc.Services, func(s tiller.Service) tiller.Service {
		s.Routes = list(s.Routes, same)
		s.Snapshots = list(s.Snapshots, snapshotWithoutNilLists)
		return s
	})
	return doc
}

// snapshotWithoutNilLists returns a copy of s in which nil lists are empty.
func snapshotWithoutNilLists(s tiller.Snapshot) tiller.Snapshot {
	s.Shards = list(s.Shards, func(shard tiller.Shard) tiller.Shard {
		shard.Upstreams = list(shard.Upstreams, same)
		return shard
	})
	return s
}

// list returns a copy of items, never nil, with f applied to each.
func list[T any](items []T, f func(T) T) []T {
	out := make([]T, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}

// same returns its argument.
func same[T any](v T) T { return v }
