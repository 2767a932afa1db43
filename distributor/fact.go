package distributor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fact is a small value that all daemons are to know, such as the address of a seat.
// Of two facts with one key, the one with the greater version counts.
type Fact struct {
	Key     string
	Version int64
	Value   []byte
}

// BucketCount is the number of buckets into which keys are hashed, so that
// two daemons that differ in a few facts exchange only the buckets that differ.
const BucketCount = 256

// facts holds the known facts and a hash of each bucket.
type facts struct {
	buckets      [BucketCount]map[string]Fact
	bucketHashes [BucketCount]uint64
	hash         uint64
	count        int
}

// put stores a fact if it is newer than the known one, and says whether it was.
func (f *facts) put(fact Fact) bool {
	n := bucketOf(fact.Key)
	old, known := f.buckets[n][fact.Key]
	if known && old.Version >= fact.Version {
		return false
	}
	if f.buckets[n] == nil {
		f.buckets[n] = make(map[string]Fact)
	}
	diff := fact.hash()
	if known {
		diff -= old.hash()
	} else {
		f.count++
	}
	f.buckets[n][fact.Key] = fact
	f.bucketHashes[n] += diff
	f.hash += diff
	return true
}

// get returns the fact with the given key.
func (f *facts) get(key string) (Fact, bool) {
	fact, ok := f.buckets[bucketOf(key)][key]
	return fact, ok
}

// differing returns the buckets whose hashes differ from the given ones.
func (f *facts) differingBuckets(hashes []uint64) []int {
	var differing []int
	for n := range f.bucketHashes {
		if n < len(hashes) && hashes[n] != f.bucketHashes[n] {
			differing = append(differing, n)
		}
	}
	return differing
}

// in returns the facts of some buckets, at most limit of them.
func (f *facts) inBuckets(numbers []int, limit int) []Fact {
	var found []Fact
	for _, n := range numbers {
		if n < 0 || n >= BucketCount {
			continue
		}
		for _, fact := range f.buckets[n] {
			if len(found) == limit {
				return found
			}
			found = append(found, fact)
		}
	}
	return found
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % BucketCount)
}

func (f Fact) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(f.Key)
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(f.Version)))
	_, _ = h.Write(f.Value)
	return h.Sum64()
}
