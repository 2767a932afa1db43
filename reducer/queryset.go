package reducer

// querySetKind identifies one of the sets that a query can be in. A query is in at most one set of each kind.
type querySetKind uint8

const (
	querySetAwaitingOwner querySetKind = iota
	querySetPending
	querySetDigest
	querySetDetached
	querySetKinds
)

// querySet is a set of queries with a deterministic order of iteration. Each query stores its position in
// the set, so that adding and removing take constant time.
type querySet struct {
	kind  querySetKind
	items []*query
}

func (b *querySet) len() int { return len(b.items) }

func (b *querySet) has(q *query) bool { return q.setPositions[b.kind] >= 0 }

func (b *querySet) add(q *query) {
	if b.has(q) {
		return
	}
	q.setPositions[b.kind] = len(b.items)
	b.items = append(b.items, q)
}

func (b *querySet) remove(q *query) {
	i := q.setPositions[b.kind]
	if i < 0 {
		return
	}
	last := len(b.items) - 1
	b.items[i] = b.items[last]
	b.items[i].setPositions[b.kind] = i
	b.items[last] = nil
	b.items = b.items[:last]
	q.setPositions[b.kind] = -1
}
