package follower

import (
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/platform"
)

// tableChanges bounds the changes that are kept for daemons that follow this one. A daemon that
// missed more gets everything.
const tableChanges = 2000

// Update is what a daemon hands to the daemons that follow it.
type Update struct {
	Items []platform.Item
	// Whole says that Items are all items, and not only the changes.
	Whole bool
	// Revision is the state of the store that the update leads to.
	Revision int64
	// Age is the time since the store was last heard of. It is sent apart, as is Hold.
	Age tiller.Millis `cbor:"-"`
	// Hold is the time for which upstreams without an entry may still enter themselves again.
	Hold tiller.Millis `cbor:"-"`
}

// Table is a copy of the entries of the store with their latest changes. Its methods may be called
// concurrently.
type Table struct {
	mu       sync.Mutex
	items    map[string]platform.Item
	changes  []platform.Item
	floor    int64
	revision int64
	// changed is closed and replaced when the revision grows.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: make(map[string]platform.Item), changed: make(chan struct{})}
}

// Apply takes over the state of a key. It says whether that is news: older states are ignored.
func (t *Table) Apply(item platform.Item) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.items[item.Key]
	if ok && item.Revision <= known.Revision || !ok && item.Deleted {
		return false
	}
	if item.Deleted {
		delete(t.items, item.Key)
	} else {
		t.items[item.Key] = item
	}
	t.changes = append(t.changes, item)
	if len(t.changes) > tableChanges {
		t.floor = t.changes[0].Revision
		t.changes = append([]platform.Item(nil), t.changes[1:]...)
	}
	return true
}

// Advance notes that everything up to a revision was applied.
func (t *Table) Advance(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.revision {
		return
	}
	t.revision = revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// Reset notes that changes were missed before a revision, so that followers must read everything.
func (t *Table) Reset(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.floor = nil, revision
}

// Revision returns the state of the store that the table shows; 0 when it shows none.
func (t *Table) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Missing returns the keys of the table that are not in seen and are not newer than a revision.
func (t *Table) Missing(seen map[string]bool, revision int64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var missing []string
	for key, item := range t.items {
		if !seen[key] && item.Revision <= revision {
			missing = append(missing, key)
		}
	}
	return missing
}

// Since returns the changes after a revision, or everything when they are not known any more.
// The channel is closed when there is more.
func (t *Table) Since(after int64) (Update, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := Update{Revision: t.revision}
	if t.revision <= after {
		return u, t.changed
	}
	if after < t.floor || after == 0 {
		u.Whole = true
		for _, item := range t.items {
			u.Items = append(u.Items, item)
		}
		return u, t.changed
	}
	for _, item := range t.changes {
		if item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	return u, t.changed
}
