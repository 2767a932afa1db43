package decoder

import (
	"bytes"
	"encoding/json"
	"reflect"

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
	if err := encoder.Encode(withoutNilLists(reflect.ValueOf(*doc)).Interface()); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return b.Bytes(), nil
}

// withoutNilLists returns a deep copy of v in which nil lists are empty, because null is not a list to the decoder.
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
