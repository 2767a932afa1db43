package reducer

// bagKind tells the bags apart that a query can be in.
type bagKind uint8

const (
	bagSeeking bagKind = iota
	bagPending
	bagDigest
	bagStranded
	bagKinds
)

// bag is a set of queries with a fixed order of iteration. A query knows its place in it,
// so that adding and removing cost the same whatever the size.
type bag struct {
	kind  bagKind
	items []*query
}

func (b *bag) len() int { return len(b.items) }

func (b *bag) has(q *query) bool { return q.places[b.kind] >= 0 }

func (b *bag) add(q *query) {
	if b.has(q) {
		return
	}
	q.places[b.kind] = len(b.items)
	b.items = append(b.items, q)
}

func (b *bag) remove(q *query) {
	i := q.places[b.kind]
	if i < 0 {
		return
	}
	last := len(b.items) - 1
	b.items[i] = b.items[last]
	b.items[i].places[b.kind] = i
	b.items[last] = nil
	b.items = b.items[:last]
	q.places[b.kind] = -1
}
