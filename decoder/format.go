package decoder

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// formatValue returns v as text for a person: a struct as its fields without Name, a list of structs as their names.
func formatValue(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.String:
		return strconv.Quote(v.String())
	case v.Kind() == reflect.Struct:
		return formatFields(v)
	case isNamedList(v.Type()):
		return bracketed(namesOf(v))
	case v.Kind() == reflect.Slice:
		return formatList(v)
	}
	return fmt.Sprint(v.Interface())
}

// formatFields returns the fields of v but for its name.
func formatFields(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "Name" {
			parts = append(parts, name+": "+formatValue(v.Field(i)))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// formatList returns the elements of a list that are not structs.
func formatList(v reflect.Value) string {
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = fmt.Sprint(v.Index(i).Interface())
	}
	return bracketed(parts)
}
