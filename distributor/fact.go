package distributor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fact is a small versioned value that is replicated to all daemons, such as the address of a seat.
// Of two facts with the same key, the one with the greater version wins.
type Fact struct {
	Key     string
	Version int64
	Value   []byte
}

// BucketCount is the number of buckets into which the keys of facts are hashed. Two daemons
// exchange only the buckets whose hashes differ.
const BucketCount = 256

// facts is a set of facts by key. Hashes are sums of the hashes of the facts, so that put can update them in place.
type facts struct {
	buckets      [BucketCount]map[string]Fact
	bucketHashes [BucketCount]uint64
	hash         uint64
	count        int
}

// put stores a fact unless the stored one has the same or a greater version. It reports whether it stored it.
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

func (f *facts) get(key string) (Fact, bool) {
	fact, ok := f.buckets[bucketOf(key)][key]
	return fact, ok
}

// differingBuckets returns the numbers of the buckets whose hashes differ from the given ones.
func (f *facts) differingBuckets(hashes []uint64) []int {
	var differing []int
	for n := range f.bucketHashes {
		if n < len(hashes) && hashes[n] != f.bucketHashes[n] {
			differing = append(differing, n)
		}
	}
	return differing
}

// inBuckets returns at most limit facts of the buckets with the given numbers. It ignores invalid numbers.
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
