package decoder

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// formatValue formats v for display. A struct is shown as its fields except Name, and a list of structs as their names.
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

// formatFields formats the fields of the struct v except Name.
func formatFields(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		if name := v.Type().Field(i).Name; name != "Name" {
			parts = append(parts, name+": "+formatValue(v.Field(i)))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// formatList formats a list whose elements are not structs.
func formatList(v reflect.Value) string {
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = fmt.Sprint(v.Index(i).Interface())
	}
	return bracketed(parts)
}
