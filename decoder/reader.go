package decoder

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// fieldInfo holds the position of a field in the input and whether its value is usable.
type fieldInfo struct {
	offset int
	// decoded is set if the value has the right type and was decoded, so that it can be checked further.
	decoded bool
}

// reader decodes a syntax tree into a Go value and collects faults.
// It records the position of each field for the checks that follow.
type reader struct {
	file string
	// root is the field name in faults of the whole input.
	root   string
	lines  lineIndex
	fields map[string]fieldInfo
	faults Faults
}

func newReader(file, root string, text []byte) *reader {
	return &reader{file: file, root: root, lines: newLineIndex(text), fields: map[string]fieldInfo{}}
}

// addFault records a fault at a byte offset.
func (r *reader) addFault(offset int, field, format string, args ...any) {
	line, column := r.lines.position(offset)
	r.faults = append(r.faults, Fault{
		File:   r.file,
		Line:   line,
		Column: column,
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	})
}

// addFaultAt records a fault of the field at path.
// The fault of an absent field is positioned at the nearest enclosing field.
func (r *reader) addFaultAt(path, format string, args ...any) {
	r.addFault(r.offset(path), r.displayPath(path), format, args...)
}

// offset returns the byte offset of the field at path, or of the nearest enclosing field if it is absent.
func (r *reader) offset(path string) int {
	for {
		if info, ok := r.fields[path]; ok || path == "" {
			return info.offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// displayPath returns the form of path that faults show: the root name for the whole input, or else path.
func (r *reader) displayPath(path string) string {
	if path == "" {
		return r.root
	}
	return path
}

// decoded reports whether the field at path is present and has the right type.
func (r *reader) decoded(path string) bool {
	return r.fields[path].decoded
}

// decodeField decodes v into dst and records the position of the field at path.
// If a key is repeated, the position of its first occurrence is kept.
func (r *reader) decodeField(path string, v hujson.Value, dst reflect.Value) {
	decoded := r.decodeValue(path, v, dst)
	if _, ok := r.fields[path]; !ok {
		r.fields[path] = fieldInfo{offset: v.StartOffset, decoded: decoded}
	}
}

// decodeValue decodes v into dst, records type and structure faults, and reports whether v itself was decoded.
func (r *reader) decodeValue(path string, v hujson.Value, dst reflect.Value) bool {
	switch dst.Kind() {
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		return r.decodeValue(path, v, dst.Elem())
	case reflect.Struct:
		return r.decodeObject(path, v, dst)
	case reflect.Slice:
		return r.decodeList(path, v, dst)
	case reflect.String:
		return r.decodeString(path, v, dst)
	case reflect.Bool:
		return r.decodeBool(path, v, dst)
	case reflect.Float64:
		return r.decodeFloat(path, v, dst)
	default:
		return r.decodeInteger(path, v, dst)
	}
}

// decodeObject decodes an object into a struct that is preset with default values.
// It records a fault for each required field that is missing.
func (r *reader) decodeObject(path string, v hujson.Value, dst reflect.Value) bool {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.wrongType(path, v, "an object")
	}
	setDefaults(dst)
	seen := map[string]bool{}
	for _, member := range object.Members {
		r.decodeMember(path, member, dst, seen)
	}
	for _, name := range requiredFields[dst.Type()] {
		if !seen[name] {
			r.addFault(v.StartOffset, joinPath(path, name), "missing required field")
		}
	}
	return true
}

// decodeMember decodes one member of an object and adds its name to seen. A repeated key is a fault;
// its value is decoded and discarded, so that faults within it are reported too.
func (r *reader) decodeMember(path string, member hujson.ObjectMember, dst reflect.Value, seen map[string]bool) {
	name := member.Name.Value.(hujson.Literal).String()
	field := dst.FieldByName(name)
	if !field.IsValid() {
		r.addFault(member.Name.StartOffset, joinPath(path, quoted(name)), "unknown field%s", fieldNameHint(dst.Type(), name))
		return
	}
	if seen[name] {
		r.addFault(member.Name.StartOffset, joinPath(path, name), "duplicate key")
		field = reflect.New(field.Type()).Elem()
	}
	seen[name] = true
	r.decodeField(joinPath(path, name), member.Value, field)
}

// decodeList decodes a list. An empty list decodes as nil, so that it equals an absent list.
func (r *reader) decodeList(path string, v hujson.Value, dst reflect.Value) bool {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		return r.wrongType(path, v, "a list")
	}
	dst.SetZero()
	if len(list.Elements) > 0 {
		dst.Set(reflect.MakeSlice(dst.Type(), len(list.Elements), len(list.Elements)))
	}
	for i, element := range list.Elements {
		r.decodeField(indexPath(path, i), element, dst.Index(i))
	}
	return true
}

// decodeString decodes a string, which must be valid UTF-8.
func (r *reader) decodeString(path string, v hujson.Value, dst reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return r.wrongType(path, v, "a string")
	}
	if !utf8.Valid(literal) {
		r.addFault(v.StartOffset, r.displayPath(path), "not valid UTF-8")
		return false
	}
	dst.SetString(literal.String())
	return true
}

func (r *reader) decodeBool(path string, v hujson.Value, dst reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		return r.wrongType(path, v, "true or false")
	}
	dst.SetBool(literal.Bool())
	return true
}

func (r *reader) decodeFloat(path string, v hujson.Value, dst reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return r.wrongType(path, v, "a number")
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		r.addFault(v.StartOffset, r.displayPath(path), "the number is out of range")
		return false
	}
	dst.SetFloat(n)
	return true
}

// decodeInteger decodes a whole number, which must be written without a fraction or an exponent.
func (r *reader) decodeInteger(path string, v hujson.Value, dst reflect.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' || strings.ContainsAny(string(literal), ".eE") {
		return r.wrongType(path, v, "a whole number")
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || dst.OverflowInt(n) {
		r.addFault(v.StartOffset, r.displayPath(path), "the number is out of range")
		return false
	}
	dst.SetInt(n)
	return true
}

// wrongType records a fault that v has the wrong type and returns false.
func (r *reader) wrongType(path string, v hujson.Value, want string) bool {
	r.addFault(v.StartOffset, r.displayPath(path), "want %s, have %s", want, describeKind(v))
	return false
}
