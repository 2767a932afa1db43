package decoder

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// place is where a field stands in the text.
type place struct {
	offset int
	// sound says that the field has the right type, so that its value can be checked.
	sound bool
}

// reader decodes a syntax tree into a Go value. It keeps the place of each field for the checks that follow.
type reader struct {
	file string
	// root names the text as a whole in faults.
	root   string
	lines  lines
	places map[string]place
	faults Faults
}

// newReader returns a reader of a text.
func newReader(file, root string, text []byte) *reader {
	return &reader{file: file, root: root, lines: newLines(text), places: map[string]place{}}
}

// fault records a fault at an offset.
func (r *reader) fault(offset int, field, format string, args ...any) {
	line, column := r.lines.position(offset)
	r.faults = append(r.faults, Fault{
		File:   r.file,
		Line:   line,
		Column: column,
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// faultAt records a fault of the field at path.
// A field that is absent has the place of the object that should hold it.
func (r *reader) faultAt(path, format string, args ...any) {
	r.fault(r.offset(path), r.name(path), format, args...)
}

// offset returns the offset of the field at path, or that of the nearest enclosing field.
func (r *reader) offset(path string) int {
	for {
		if p, ok := r.places[path]; ok || path == "" {
			return p.offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// name returns path as it stands in faults.
func (r *reader) name(path string) string {
	if path == "" {
		return r.root
	}
	return path
}

// given says whether the field at path is present and has the right type.
func (r *reader) given(path string) bool {
	return r.places[path].sound
}

// read decodes v into the value into and records faults of type and of structure.
func (r *reader) read(path string, v hujson.Value, into reflect.Value) {
	sound := r.assign(path, v, into)
	if _, ok := r.places[path]; !ok {
		r.places[path] = place{offset: v.StartOffset, sound: sound}
	}
}

// assign decodes v into the value into and says whether v has the right type.
func (r *reader) assign(path string, v hujson.Value, into reflect.Value) bool {
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		return r.assign(path, v, into.Elem())
	case reflect.Struct:
		return r.readObject(path, v, into)
	case reflect.Slice:
		return r.readList(path, v, into)
	case reflect.String:
		return r.readString(path, v, into)
	case reflect.Bool:
		return r.readBool(path, v, into)
	case reflect.Float64:
		return r.readFloat(path, v, into)
	default:
		return r.readInteger(path, v, into)
	}
}

// readObject decodes an object. A repeated key is a fault; its value is decoded too, for its own faults.
func (r *reader) readObject(path string, v hujson.Value, into reflect.Value) bool {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.wrongType(path, v, "an object")
	}
	setDefaults(into)
	seen := map[string]bool{}
	for _, member := range object.Members {
		r.readMember(path, member, into, seen)
	}
	for _, name := range requiredFields[into.Type()] {
		if !seen[name] {
			r.fault(v.StartOffset, join(path, name), "missing required field")
		}
	}
	return true
}

// readMember decodes one member of an object.
func (r *reader) readMember(path string, member hujson.ObjectMember, into reflect.Value, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	field := into.FieldByName(name)
	if !field.IsValid() {
		r.fault(member.Name.StartOffset, join(path, quoted(name)), "unknown field%s", hint(into.Type(), name))
		return
	}
	if seen[name] {
		r.fault(member.Name.StartOffset, join(path, name), "duplicate key")
		field = reflect.New(field.Type()).Elem()
	}
	seen[name] = true
	r.read(join(path, name), member.Value, field)
}

// readList decodes a list. An empty list decodes as nil, as a list that is left out does.
func (r *reader) readList(path string, v hujson.Value, into reflect.Value) bool {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		return r.wrongType(path, v, "a list")
	}
	into.SetZero()
	if len(list.Elements) > 0 {
		into.Set(reflect.MakeSlice(into.Type(), len(list.Elements), len(list.Elements)))
	}
	for i, element := range list.Elements {
		r.read(index(path, i), element, into.Index(i))
	}
	return true
}

// readString decodes a string.
func (r *reader) readString(path string, v hujson.Value, into reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return r.wrongType(path, v, "a string")
	}
	if !utf8.Valid(literal) {
		r.fault(v.StartOffset, r.name(path), "not valid UTF-8")
		return false
	}
	into.SetString(literal.String())
	return true
}

// readBool decodes true or false.
func (r *reader) readBool(path string, v hujson.Value, into reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		return r.wrongType(path, v, "true or false")
	}
	into.SetBool(literal.Bool())
	return true
}

// readFloat decodes a number.
func (r *reader) readFloat(path string, v hujson.Value, into reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return r.wrongType(path, v, "a number")
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		r.fault(v.StartOffset, r.name(path), "the number is out of range")
		return false
	}
	into.SetFloat(n)
	return true
}

// readInteger decodes a whole number, written without fraction and exponent.
func (r *reader) readInteger(path string, v hujson.Value, into reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' || strings.ContainsAny(string(literal), ".eE") {
		return r.wrongType(path, v, "a whole number")
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || into.OverflowInt(n) {
		r.fault(v.StartOffset, r.name(path), "the number is out of range")
		return false
	}
	into.SetInt(n)
	return true
}

// wrongType records that v is not what the field needs. It returns false.
func (r *reader) wrongType(path string, v hujson.Value, want string) bool {
	r.fault(v.StartOffset, r.name(path), "want %s, have %s", want, kindName(v))
	return false
}
