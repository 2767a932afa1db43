package accountant

// size is what Choose considers of one holding.
type size struct {
	id    uint64
	bytes int64
}

// choose returns the holding to cut off when there is no room for asker, given with the size that it would have: the
// largest of the growing ones, of equally large ones the oldest. It returns the asker if no other is larger.
//
// It answers many senders without end at a time, beside many small messages. Refusing whoever asks would hit mostly the
// small ones, because they are more.
func choose(asker size, growing []size) uint64 {
	largest := asker
	for _, s := range growing {
		if s.bytes > largest.bytes || s.bytes == largest.bytes && s.id < largest.id {
			largest = s
		}
	}
	return largest.id
}
