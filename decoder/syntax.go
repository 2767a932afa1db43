package decoder

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxTextBytes is the maximum size of a document or of settings. The platform's store holds values of up to 1 MiB.
	MaxTextBytes = 1_000_000
	// MaxNesting is the maximum nesting depth of objects and lists. A document needs 8.
	// The bound prevents the recursive parser from exhausting the stack.
	MaxNesting = 16
	// maxReasonBytes limits the length of a reason, so that a fault stays readable if the parser quotes a long literal.
	maxReasonBytes = 160
)

// parse returns the syntax tree of text and reports whether text is well-formed and within the bounds.
// If it is not, parse records a fault.
func (r *reader) parse(text []byte) (hujson.Value, bool) {
	if len(text) > MaxTextBytes {
		r.addFault(0, r.root, "the text has %d bytes, more than %d", len(text), MaxTextBytes)
		return hujson.Value{}, false
	}
	if offset, deep := tooDeep(text); deep {
		r.addFault(offset, r.root, "nested deeper than %d levels", MaxNesting)
		return hujson.Value{}, false
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		offset, reason := r.syntaxError(err)
		r.addFault(offset, r.root, "%s", reason)
		return hujson.Value{}, false
	}
	return tree, true
}

// syntaxError returns the byte offset and the reason of an error of the parser.
// The offset is 0 if the error does not start with a position.
func (r *reader) syntaxError(err error) (offset int, reason string) {
	var line, column int
	reason = err.Error()
	if _, scanErr := fmt.Sscanf(reason, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 0, truncate(reason)
	}
	parts := strings.SplitN(reason, ": ", 3)
	return r.lines.offset(line, column), truncate(parts[len(parts)-1])
}

// truncate shortens s to at most maxReasonBytes and appends "..." if it was longer.
func truncate(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxReasonBytes], "") + "..."
}

// tooDeep returns the offset of the first bracket that exceeds MaxNesting, and whether there is one.
// It ignores brackets in strings and comments.
func tooDeep(text []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '/':
			i = commentEnd(text, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxNesting {
			return i, true
		}
	}
	return 0, false
}

// stringEnd returns the offset of the quote that closes the string starting at i, or the length of text.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// commentEnd returns the offset of the last byte of the comment starting at i, i if no comment starts there,
// or the length of text if the comment is not terminated.
func commentEnd(text []byte, i int) int {
	terminator := commentTerminator(text[i:])
	if terminator == nil {
		return i
	}
	start := i + len("//")
	n := bytes.Index(text[start:], terminator)
	if n < 0 {
		return len(text)
	}
	return start + n + len(terminator) - 1
}

// commentTerminator returns the bytes that end the comment at the start of text, or nil if text does not start
// with a comment.
func commentTerminator(text []byte) []byte {
	switch {
	case bytes.HasPrefix(text, []byte("//")):
		return []byte("\n")
	case bytes.HasPrefix(text, []byte("/*")):
		return []byte("*/")
	}
	return nil
}
