package decoder

import "sort"

// lineIndex holds the byte offset of the start of each line of the input.
type lineIndex []int

func newLineIndex(text []byte) lineIndex {
	starts := lineIndex{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// position returns the line and the column, both counted from 1, of a byte offset.
func (l lineIndex) position(offset int) (line, column int) {
	line = sort.SearchInts(l, offset+1)
	return line, 1 + offset - l[line-1]
}

// offset returns the byte offset of a line and a column, both counted from 1.
func (l lineIndex) offset(line, column int) int {
	return l[line-1] + column - 1
}
