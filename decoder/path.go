package decoder

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxNameBytes keeps a path readable when an unknown field has a long name.
const maxQuotedBytes = 64

// joinPath returns the path of the field name of the object at path.
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

// quoted returns name as part of a path. A name that is not a plain word is quoted and cut.
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

// isWordRune says whether c is an ASCII letter, digit, dash or underscore.
func isWordRune(c rune) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_'
}

// fieldNameHint names the field of t that differs from name only by case.
func fieldNameHint(t reflect.Type, name string) string {
	for i := range t.NumField() {
		if field := t.Field(i).Name; strings.EqualFold(field, name) {
			return "; the name is " + field
		}
	}
	return ""
}

// describeKind describes the type of a JSON value.
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
