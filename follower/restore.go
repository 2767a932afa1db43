package follower

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/platform"
)

// This file applies the entries of a store that came back from a copy. The copy lacks the latest changes until their
// writers have made them again. Until then a removal, and a server that no longer drains, may be older than what this
// daemon knows, so the known state stays in force for the time in which writers return.

// applyRestored applies the complete entries of a later era.
func (f *Follower) applyRestored(items []platform.Item, to platform.Position) {
	from := f.table.Position()
	if f.readsStore {
		// Set before the table changes, because the daemons that follow this one are told of it with the entries.
		f.graceEnd.Store(int64(f.clock.Now() + reregisterMillis))
	}
	changed := f.table.Restore(items, to)
	f.extendWaits()
	missing, kept := 0, 0
	for i, c := range changed {
		if c.item.Deleted {
			missing++
		}
		if vm, ok := platform.MemberVM(c.item.Key); ok && vm == f.self.VM {
			// The copy lacks the daemon's own entry, or has that of an earlier process.
			f.entryRemoved()
		}
		if f.keeps(c) {
			kept++
			f.keptUntil[c.item.Key] = tiller.Millis(f.graceEnd.Load())
		} else {
			f.emitState(c.item)
		}
		if i%applyBatch == applyBatch-1 {
			f.pause()
		}
	}
	f.emitMembers()
	f.log.Info("Store came back from a copy", "FromEra", from.Era, "Era", to.Era, "FromRevision", from.Revision, "Revision", to.Revision,
		"Keys", len(items), "Changed", len(changed)-missing, "Missing", missing, "Kept", kept, "Direct", f.readsStore)
}

// keeps reports whether the state of a key in the earlier era stays in force for now. Missing upstreams are kept by
// removeUpstream.
func (f *Follower) keeps(c restoredKey) bool {
	if f.clock.Now() >= tiller.Millis(f.graceEnd.Load()) {
		return false
	}
	if id, ok := platform.UpstreamID(c.item.Key); ok {
		return !c.item.Deleted && f.stopsDraining(id, c)
	}
	return c.item.Deleted
}

// stopsDraining reports whether a process of an upstream drained in the earlier era and does not in the later one.
func (f *Follower) stopsDraining(id string, c restoredKey) bool {
	known, err := platform.ParseUpstream(id, c.known.Value, f.regions)
	if err != nil || !known.Draining {
		return false
	}
	u, err := platform.ParseUpstream(id, c.item.Value, f.regions)
	return err == nil && !u.Draining && u.Address == known.Address && u.Incarnation == known.Incarnation
}

// extendWaits gives the keys that were missing or kept already the time after the latest return of the store.
func (f *Follower) extendWaits() {
	graceEnd := tiller.Millis(f.graceEnd.Load())
	for _, waiting := range []map[string]tiller.Millis{f.missingUntil, f.keptUntil} {
		for key, at := range waiting {
			waiting[key] = max(at, graceEnd)
		}
	}
}

// endKept brings the state that the table holds into force for the keys whose known state was kept long enough.
func (f *Follower) endKept() {
	now := f.clock.Now()
	ended := false
	for key, at := range f.keptUntil {
		if now >= at {
			ended = true
			f.emitState(f.table.Item(key))
		}
	}
	if ended {
		f.emitMembers()
	}
}
