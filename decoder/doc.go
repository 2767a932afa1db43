// Package decoder parses and validates daemon settings and the operators' document.
// Both are JSON with comments and trailing commas; field names are those of the Go structs, in exact case.
//
// A call reports every fault in its input, each with its position and the path of the field.
// A syntax error is reported alone, because the input after it has no defined structure.
package decoder
