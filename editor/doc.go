// Package editor changes single fields in the text of the operators' document. All other bytes,
// including comments, stay as the operators wrote them.
package editor
