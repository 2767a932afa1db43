package decoder

import (
	"reflect"
	"slices"
	"strings"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field; elements of lists are given by name, such as Upstreams[bulletin-1].Slots.
	Field string
	// Old is the old value as text; empty for an element that was added.
	Old string
	// New is the new value as text; empty for an element that was removed.
	New string
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return c.Field + ": added " + c.New
	case c.New == "":
		return c.Field + ": removed " + c.Old
	}
	return c.Field + ": " + c.Old + " -> " + c.New
}

// Diff lists the differences between two valid documents, in the order of their fields. A nil document counts as empty.
// It leaves out Revision, which the daemon that accepts a change sets. Changes of order are listed,
// because seats belong to failure domains by position.
func Diff(old, next *tiller.Document) []Change {
	var d differ
	d.compareFields("", reflect.ValueOf(orEmpty(old)), reflect.ValueOf(orEmpty(next)))
	return d.changes
}

// orEmpty returns *doc, or an empty document for nil.
func orEmpty(doc *tiller.Document) tiller.Document {
	if doc == nil {
		return tiller.Document{}
	}
	return *doc
}

// differ collects changes.
type differ struct {
	changes []Change
}

// add records a change.
func (d *differ) add(path, old, next string) {
	d.changes = append(d.changes, Change{Field: path, Old: old, New: next})
}

// compare records the differences between two values of one type.
func (d *differ) compare(path string, old, next reflect.Value) {
	switch {
	case old.Kind() == reflect.Struct:
		d.compareFields(path, old, next)
	case isNamedList(old.Type()):
		d.compareNamed(path, old, next)
	case formatValue(old) != formatValue(next):
		d.add(path, formatValue(old), formatValue(next))
	}
}

// compareFields compares the fields of two structs.
func (d *differ) compareFields(path string, old, next reflect.Value) {
	for i := range old.NumField() {
		name := old.Type().Field(i).Name
		if name == "Revision" {
			continue
		}
		d.compare(joinPath(path, name), old.Field(i), next.Field(i))
	}
}

// compareNamed compares two lists of structs by the names of their elements.
func (d *differ) compareNamed(path string, old, next reflect.Value) {
	before, after := elementsByName(old), elementsByName(next)
	for _, name := range namesOf(old) {
		if _, kept := after[name]; !kept {
			d.add(elementPath(path, name), formatValue(before[name]), "")
		}
	}
	for _, name := range namesOf(next) {
		if previous, kept := before[name]; kept {
			d.compare(elementPath(path, name), previous, after[name])
		} else {
			d.add(elementPath(path, name), "", formatValue(after[name]))
		}
	}
	d.compareOrder(path, intersection(namesOf(old), after), intersection(namesOf(next), before))
}

// compareOrder records a change in the order of the elements that both lists have.
func (d *differ) compareOrder(path string, old, next []string) {
	if !slices.Equal(old, next) {
		d.add(path, "order "+bracketed(old), "order "+bracketed(next))
	}
}

// elementPath returns the path of the element called name.
func elementPath(path, name string) string {
	return path + "[" + name + "]"
}

// isNamedList says whether t is a list of structs, which all have a field Name.
func isNamedList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// elementsByName maps the names of the elements of a list to the elements.
func elementsByName(list reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		out[list.Index(i).FieldByName("Name").String()] = list.Index(i)
	}
	return out
}

// namesOf returns the names of the elements of a list in order.
func namesOf(list reflect.Value) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = list.Index(i).FieldByName("Name").String()
	}
	return out
}

// intersection returns the names that are in other too, in order.
func intersection(names []string, other map[string]reflect.Value) []string {
	var out []string
	for _, name := range names {
		if _, ok := other[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// bracketed returns names as a list in brackets.
func bracketed(names []string) string {
	return "[" + strings.Join(names, ", ") + "]"
}
