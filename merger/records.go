package merger

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordBytes is the size of a record in bytes. Records are ordered lexicographically by their bytes.
const RecordBytes = 16

// Records holds the greatest records of the parts added so far. It is mutable and not safe for concurrent use.
type Records struct {
	limit int
	top   []record
}

// record holds the bytes of a record as two big-endian integers. Comparing high, then low compares the bytes.
type record struct{ high, low uint64 }

// NewRecords returns an empty Records that keeps at most limit records.
func NewRecords(limit int) *Records { return &Records{limit: max(limit, 0)} }

// Add merges the records of a part, which may be in any order. Trailing bytes that are fewer than a record are
// ignored. Equal records are all kept.
func (r *Records) Add(part []byte) {
	full := len(r.top) >= r.limit
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		next := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])}
		if full && (r.limit == 0 || compareRecords(next, r.top[r.limit-1]) >= 0) {
			continue
		}
		r.top = append(r.top, next)
	}
	slices.SortFunc(r.top, compareRecords)
	if len(r.top) > r.limit {
		r.top = r.top[:r.limit]
	}
}

// compareRecords orders greater records first.
func compareRecords(a, b record) int {
	if c := cmp.Compare(b.high, a.high); c != 0 {
		return c
	}
	return cmp.Compare(b.low, a.low)
}

// Bytes returns the records, greatest first.
func (r *Records) Bytes() []byte {
	out := make([]byte, 0, len(r.top)*RecordBytes)
	for _, next := range r.top {
		out = binary.BigEndian.AppendUint64(out, next.high)
		out = binary.BigEndian.AppendUint64(out, next.low)
	}
	return out
}

// Threshold returns the least of the records once limit records are held, and nil before. Adding a record that
// is not greater than the threshold does not change the records.
func (r *Records) Threshold() []byte {
	if len(r.top) < max(r.limit, 1) {
		return nil
	}
	least := r.top[len(r.top)-1]
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, least.high), least.low)
}

// Above returns the records that are greater than threshold, or all records if threshold is not RecordBytes
// long. The records must be sorted greatest first.
func Above(records, threshold []byte) []byte {
	if len(threshold) != RecordBytes {
		return records
	}
	n := 0
	for n+RecordBytes <= len(records) && bytes.Compare(records[n:n+RecordBytes], threshold) > 0 {
		n += RecordBytes
	}
	return records[:n]
}

// Top returns the limit greatest records of a part, or all if there are fewer, greatest first.
func Top(part []byte, limit int) []byte {
	r := NewRecords(limit)
	r.Add(part)
	return r.Bytes()
}
