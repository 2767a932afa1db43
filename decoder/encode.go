package decoder

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Encode returns doc as canonical JSON: all fields, in the order of the Go structs, indented with tabs.
// DecodeDocument decodes the result of a valid document to an equal document.
// Encode fails only if a number cannot be represented in JSON.
func Encode(doc *tiller.Document) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "\t")
	if err := encoder.Encode(withoutNilLists(reflect.ValueOf(*doc)).Interface()); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return b.Bytes(), nil
}

// withoutNilLists returns a deep copy of v with nil lists replaced by empty ones. A nil list encodes as null,
// which the decoder rejects.
func withoutNilLists(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	switch v.Kind() {
	case reflect.Slice:
		out.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
		for i := range v.Len() {
			out.Index(i).Set(withoutNilLists(v.Index(i)))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			out.Field(i).Set(withoutNilLists(v.Field(i)))
		}
	default:
		out.Set(v)
	}
	return out
}
