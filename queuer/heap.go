package queuer

// Heap is a binary min-heap that reports the position of each element, so that any element can be
// removed or reordered in logarithmic time.
type Heap[T any] struct {
	items       []T
	less        func(a, b T) bool
	setPosition func(item T, position int)
}

// NewHeap returns an empty Heap with the least element first. It calls setPosition whenever the position
// of an element changes; the position is -1 when the element has left the heap.
func NewHeap[T any](less func(a, b T) bool, setPosition func(item T, position int)) *Heap[T] {
	return &Heap[T]{less: less, setPosition: setPosition}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least element. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Last returns the last leaf, an element without children. The heap must not be empty.
func (h *Heap[T]) Last() T { return h.items[len(h.items)-1] }

// Push adds an element.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setPosition(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes and returns the element at position.
func (h *Heap[T]) Remove(position int) T {
	item := h.items[position]
	last := len(h.items) - 1
	h.swap(position, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if position < last {
		h.Fix(position)
	}
	h.setPosition(item, -1)
	return item
}

// Fix restores the heap order after the element at position has changed.
func (h *Heap[T]) Fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the element moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i > start
		}
		h.swap(i, least)
		i = least
	}
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setPosition(h.items[i], i)
	h.setPosition(h.items[j], j)
}
