package reducer

// bagKind tells the bags apart that a query can be in.
type querySetKind uint8

const (
	querySetAwaitingOwner querySetKind = iota
	querySetPending
	querySetDigest
	querySetDetached
	querySetKinds
)

// bag is a set of queries with a fixed order of iteration. A query knows its place in it,
// so that adding and removing cost the same whatever the size.
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
