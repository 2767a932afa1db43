// Package editor changes single fields in the text of the operators' document. Every other byte,
// with all comments, stays as the operators wrote it.
package editor
