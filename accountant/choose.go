package accountant

// size is what Choose considers of one holding.
type size struct {
	id    uint64
	bytes int64
}

// choose returns the holding to cut off when asker needs n bytes more and there is no room: the largest of the growing
// ones, of equally large ones the oldest. It returns the asker if no other is larger than the asker would be.
//
// It answers many senders without end at a time, beside many small messages. Refusing whoever asks would hit mostly the
// small ones, because they are more.
func choose(asker size, n int64, growing []size) uint64 {
	largest := size{id: asker.id, bytes: asker.bytes + n}
	for _, s := range growing {
		if s.bytes > largest.bytes || s.bytes == largest.bytes && s.id < largest.id {
			largest = s
		}
	}
	return largest.id
}
