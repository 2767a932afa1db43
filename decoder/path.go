package decoder

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxQuotedBytes limits the length of a name in a fault, so that faults with long names stay readable.
const maxQuotedBytes = 64

// joinPath returns the path of the given field of the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// indexPath returns the path of element i of the list at path.
func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// quoted returns name for use in a fault. It quotes names with characters other than ASCII letters, digits, dashes
// and underscores, and empty names. It truncates and quotes names longer than maxQuotedBytes.
func quoted(name string) string {
	if len(name) > maxQuotedBytes {
		return strconv.Quote(strings.ToValidUTF8(name[:maxQuotedBytes], "") + "...")
	}
	for _, c := range name {
		if !isWordRune(c) {
			return strconv.Quote(name)
		}
	}
	if name == "" {
		return `""`
	}
	return name
}

// isWordRune reports whether c is an ASCII letter, digit, dash or underscore.
func isWordRune(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_'
}

// fieldNameHint returns a suffix for a fault that names the field of t that differs from name only in case,
// or the empty string if there is none.
func fieldNameHint(t reflect.Type, name string) string {
	for i := range t.NumField() {
		if field := t.Field(i).Name; strings.EqualFold(field, name) {
			return "; the name is " + field
		}
	}
	return ""
}

// describeKind describes the JSON type of v for a fault. For a number it includes the value.
func describeKind(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	}
	return "a number " + truncate(string(v.Value.(hujson.Literal)))
}
