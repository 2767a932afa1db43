package decoder

import (
	"reflect"
	"slices"
	"strings"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field, with list elements identified by name, such as Upstreams[bulletin-1].Slots.
	Field string
	// Old is the old value as text; empty for an element that was added.
	Old string
	// New is the new value as text; empty for an element that was removed.
	New string
}

// String formats the change as one line.
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
// Revision is ignored, because the daemon that accepts a change sets it. Changes of order are listed,
// because seats are assigned to failure domains by position.
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

// differ collects the changes between two documents.
type differ struct {
	changes []Change
}

func (d *differ) add(path, old, next string) {
	d.changes = append(d.changes, Change{Field: path, Old: old, New: next})
}

// compare records the differences between two values of the same type.
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

// compareFields compares two structs field by field, except for Revision.
func (d *differ) compareFields(path string, old, next reflect.Value) {
	for i := range old.NumField() {
		name := old.Type().Field(i).Name
		if name == "Revision" {
			continue
		}
		d.compare(joinPath(path, name), old.Field(i), next.Field(i))
	}
}

// compareNamed compares two lists of structs, matching their elements by name.
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

// compareOrder records a change of order. Both lists hold the names of the elements that are in both documents.
func (d *differ) compareOrder(path string, old, next []string) {
	if !slices.Equal(old, next) {
		d.add(path, "order "+bracketed(old), "order "+bracketed(next))
	}
}

// elementPath returns the path of the element with the given name in the list at path.
func elementPath(path, name string) string {
	return path + "[" + name + "]"
}

// isNamedList reports whether t is a list of structs. In a document, all of these have a field Name.
func isNamedList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// elementsByName returns the elements of a list, keyed by name.
func elementsByName(list reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		out[list.Index(i).FieldByName("Name").String()] = list.Index(i)
	}
	return out
}

// namesOf returns the names of the elements of a list, in list order.
func namesOf(list reflect.Value) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = list.Index(i).FieldByName("Name").String()
	}
	return out
}

// intersection returns those of names that are keys of other, in the order of names.
func intersection(names []string, other map[string]reflect.Value) []string {
	var out []string
	for _, name := range names {
		if _, ok := other[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// bracketed formats names as a comma-separated list in brackets.
func bracketed(names []string) string {
	return "[" + strings.Join(names, ", ") + "]"
}
