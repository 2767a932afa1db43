package follower

import (
	"bytes"
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
	// Era and Revision are the position of the store that the update leads to. Daemons of earlier versions send
	// no era.
	Era, Revision int64
	// Age is the time since the store's last known answer. Age and Hold are sent as headers.
	Age tiller.Millis `cbor:"-"`
	// Hold is the time for which upstreams without an entry may still register again.
	Hold tiller.Millis `cbor:"-"`
}

// position returns the position of the store that the update leads to.
func (u Update) position() platform.Position {
	return platform.Position{Era: u.Era, Revision: u.Revision}
}

// Table is a copy of the store's entries in one era, and their latest changes. Its methods may be called
// concurrently.
type Table struct {
	mu      sync.Mutex
	items   map[string]platform.Item
	changes []platform.Item
	// missedThrough is the revision up to which changes may be missing from changes: they were made before
	// a complete read, or were discarded.
	missedThrough int64
	position      platform.Position
	// changed is closed and replaced when the position advances.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: make(map[string]platform.Item), changed: make(chan struct{})}
}

// Apply stores the state of a key in the table's era. It returns false if that changes nothing here: a state that is not
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

// Advance records that everything up to a position was applied, and wakes the callers that wait for
// changes. An empty table takes the era of the position; a table with entries enters another era by Restore only.
func (t *Table) Advance(to platform.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.position.Before(to) {
		t.advance(to)
	}
}

func (t *Table) advance(to platform.Position) {
	t.position = to
	close(t.changed)
	t.changed = make(chan struct{})
}

// restoredKey is a key whose state differs between two eras.
type restoredKey struct {
	// known is the state in the earlier era; its key is empty if there was none.
	known platform.Item
	// item is the state in the later era.
	item platform.Item
}

// Restore replaces all entries with those of a later era, and returns the keys whose state differs. Followers in the
// earlier era then receive all entries.
func (t *Table) Restore(items []platform.Item, to platform.Position) []restoredKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.items
	t.items = make(map[string]platform.Item, len(items))
	t.changes, t.missedThrough = nil, to.Revision
	var changed []restoredKey
	for _, item := range items {
		t.items[item.Key] = item
		t.record(item)
		known, ok := before[item.Key]
		if !ok || !sameState(known, item) {
			changed = append(changed, restoredKey{known: known, item: item})
		}
	}
	for key, known := range before {
		if _, ok := t.items[key]; !ok {
			gone := platform.Item{Key: key, Revision: to.Revision, Deleted: true}
			changed = append(changed, restoredKey{known: known, item: gone})
		}
	}
	t.advance(to)
	return changed
}

// sameState reports whether a key has the same state in two eras. The orders and states of rollouts are identified by
// their revision.
func sameState(a, b platform.Item) bool {
	return bytes.Equal(a.Value, b.Value) && (a.Revision == b.Revision || !platform.IsRollout(a.Key))
}

// Item returns the state of a key, which is a removal if the table does not have it.
func (t *Table) Item(key string) platform.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	if item, ok := t.items[key]; ok {
		return item
	}
	return platform.Item{Key: key, Revision: t.position.Revision, Deleted: true}
}

// Reset records that changes up to a revision were missed, because the entries were read as a whole.
// Followers at an older revision then receive all entries. Newer changes are kept.
func (t *Table) Reset(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.missedThrough = max(t.missedThrough, revision)
	t.changes = slices.DeleteFunc(t.changes, func(item platform.Item) bool { return item.Revision <= t.missedThrough })
}

// Position returns the position of the store that the table reflects; its revision is 0 if nothing was read yet.
func (t *Table) Position() platform.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Revision returns the revision of Position.
func (t *Table) Revision() int64 { return t.Position().Revision }

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

// Since returns the changes after a position, or all entries if those changes are no longer kept or the position is of
// an earlier era. The channel is closed when a newer position is available.
func (t *Table) Since(after platform.Position) (Update, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := Update{Era: t.position.Era, Revision: t.position.Revision}
	if !after.Before(t.position) {
		return u, t.changed
	}
	if after.Era != t.position.Era || after.Revision < t.missedThrough || after.Revision == 0 {
		u.Whole = true
		for _, item := range t.items {
			u.Items = append(u.Items, item)
		}
		return u, t.changed
	}
	for _, item := range t.changes {
		if item.Revision > after.Revision {
			u.Items = append(u.Items, item)
		}
	}
	return u, t.changed
}
