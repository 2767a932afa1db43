package editor

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

// ErrNoElement reports that a list has no element with the given name.
var ErrNoElement = errors.New("no such element")

// SetField returns text with a field set in the element called name of one of the lists of the document, such as
// Domains. The value must be encodable as JSON. The error is ErrNoElement when there is no such element.
func SetField(text []byte, list, name, field string, value any) ([]byte, error) {
	element, err := findElement(text, list, name)
	if err != nil {
		return nil, err
	}
	literal, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode value")
	}
	if old, ok := member(element, field); ok {
		return splice(text, old.StartOffset, old.EndOffset, string(literal)), nil
	}
	// The element was found by its Name, so that member exists. A comment may follow before the next
	// member, so the field is inserted directly after the value of Name.
	at, _ := member(element, "Name")
	return splice(text, at.EndOffset, at.EndOffset, fmt.Sprintf(", %q: %s", field, literal)), nil
}

// Append returns text with an element added at the end of one of the lists of the document. A list that the
// document does not have is added.
func Append(text []byte, list string, element any) ([]byte, error) {
	literal, err := json.Marshal(element)
	if err != nil {
		return nil, errors.Wrap(err, "encode element")
	}
	root, err := parse(text)
	if err != nil {
		return nil, err
	}
	value, ok := member(root, list)
	if !ok {
		if len(root.Members) == 0 {
			return nil, errors.New("the document is empty")
		}
		end := root.Members[len(root.Members)-1].Value.EndOffset
		return splice(text, end, end, fmt.Sprintf(",\n\t%q: [\n\t\t%s\n\t]", list, literal)), nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, errors.Errorf("%s is not a list", list)
	}
	if n := len(array.Elements); n > 0 {
		end := array.Elements[n-1].EndOffset
		return splice(text, end, end, ",\n\t\t"+string(literal)), nil
	}
	start := value.StartOffset + len("[")
	return splice(text, start, start, "\n\t\t"+string(literal)+"\n\t"), nil
}

// findElement returns the element called name of a list of the document.
func findElement(text []byte, list, name string) (*hujson.Object, error) {
	root, err := parse(text)
	if err != nil {
		return nil, err
	}
	value, _ := member(root, list)
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, errors.Wrapf(ErrNoElement, "%s[%s]", list, name)
	}
	for _, element := range array.Elements {
		object, ok := element.Value.(*hujson.Object)
		if !ok {
			continue
		}
		if v, ok := member(object, "Name"); ok && isString(v, name) {
			return object, nil
		}
	}
	return nil, errors.Wrapf(ErrNoElement, "%s[%s]", list, name)
}

// parse returns the document as a syntax tree with offsets.
func parse(text []byte) (*hujson.Object, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "parse document")
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("the document is not an object")
	}
	return object, nil
}

// member returns the value of a field of an object.
func member(o *hujson.Object, name string) (hujson.Value, bool) {
	for _, m := range o.Members {
		if isString(m.Name, name) {
			return m.Value, true
		}
	}
	return hujson.Value{}, false
}

func isString(v hujson.Value, want string) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == '"' && literal.String() == want
}

// splice returns a copy of text in which the bytes [start, end) are replaced.
func splice(text []byte, start, end int, replacement string) []byte {
	out := make([]byte, 0, len(text)+len(replacement))
	out = append(out, text[:start]...)
	out = append(out, replacement...)
	return append(out, text[end:]...)
}
