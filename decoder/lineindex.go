package decoder

import "sort"

// lineIndex holds the offset of the first byte of each line of a text.
type lineIndex []int

// newLineIndex returns the lines of text.
func newLineIndex(text []byte) lineIndex {
	starts := lineIndex{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// position returns the line and the column of an offset, both counting from 1.
func (l lineIndex) position(offset int) (line, column int) {
	line = sort.SearchInts(l, offset+1)
	return line, 1 + offset - l[line-1]
}

// offset returns the offset of a line and a column.
func (l lineIndex) offset(line, column int) int {
	return l[line-1] + column - 1
}
