package follower

import (
	"slices"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/platform"
)

// maxChanges is the number of changes that are kept for daemons that follow this one. A daemon that
// missed more receives all entries.
const maxChanges = 2000

// Update is the message from a daemon to the daemons that follow it.
type Update struct {
	Items []platform.Item
	// Whole reports whether Items are all items rather than only the changes.
	Whole bool
	// Revision is the revision of the store that the update leads to.
	Revision int64
	// Age is the time since the store's last known answer. Age and Hold are sent as headers.
	Age tiller.Millis `cbor:"-"`
	// Hold is the time for which upstreams without an entry may still register again.
	Hold tiller.Millis `cbor:"-"`
}

// Table is a copy of the store's entries and their latest changes. Its methods may be called
// concurrently.
type Table struct {
	mu      sync.Mutex
	items   map[string]platform.Item
	changes []platform.Item
	// missedThrough is the revision up to which changes may be missing from changes: they were made before
	// a complete read, or were discarded.
	missedThrough int64
	revision      int64
	// changed is closed and replaced when the revision grows.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: make(map[string]platform.Item), changed: make(chan struct{})}
}

// Apply stores the state of a key. It returns false if that changes nothing here: a state that is not
// newer than the known one, or the removal of an unknown key. Such a removal is handed on, because a
// follower may know the key.
func (t *Table) Apply(item platform.Item) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.items[item.Key]
	if ok && item.Revision <= known.Revision {
		return false
	}
	if item.Deleted {
		delete(t.items, item.Key)
	} else {
		t.items[item.Key] = item
	}
	t.record(item)
	return ok || !item.Deleted
}

// record keeps a change for followers. Entries that are read as a whole come in no order of revisions.
func (t *Table) record(item platform.Item) {
	if item.Revision <= t.missedThrough {
		return
	}
	t.changes = append(t.changes, item)
	if len(t.changes) > maxChanges {
		t.missedThrough = max(t.missedThrough, t.changes[0].Revision)
		t.changes = append([]platform.Item(nil), t.changes[1:]...)
	}
}

// Advance records that everything up to a revision was applied, and wakes the callers that wait for
// changes.
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

// Reset records that changes up to a revision were missed, because the entries were read as a whole.
// Followers at an older revision then receive all entries. Newer changes are kept.
func (t *Table) Reset(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.missedThrough = max(t.missedThrough, revision)
	t.changes = slices.DeleteFunc(t.changes, func(item platform.Item) bool { return item.Revision <= t.missedThrough })
}

// Revision returns the revision of the store that the table reflects; 0 if nothing was read yet.
func (t *Table) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Missing returns the keys of the table that are not in seen and not newer than a revision.
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

// Since returns the changes after a revision, or all entries if those changes are no longer kept. The
// channel is closed when a newer revision is available.
func (t *Table) Since(after int64) (Update, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := Update{Revision: t.revision}
	if t.revision <= after {
		return u, t.changed
	}
	if after < t.missedThrough || after == 0 {
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
