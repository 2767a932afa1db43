// Package decoder parses and validates daemon settings and the operators' document.
// Both are JSON with comments and trailing commas; field names are those of the Go structs, in exact case.
//
// Every fault of a text is reported in one run, with its position and the path of the field.
// A syntax error ends the run, because the text after it has no defined structure.
package decoder
