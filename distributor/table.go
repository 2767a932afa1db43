package distributor

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// PushPeers is the number of random peers to which a daemon pushes a change.
	PushPeers = 8
	// CompareMillis is the time between two comparisons with a random peer.
	CompareMillis tiller.Millis = 1000
	// PatchesKept is the number of recent patches kept for peers that are a few revisions behind.
	PatchesKept = 64
	// FactsPerPush is the maximum number of facts in one message of a comparison.
	FactsPerPush = 4096
)

// Table holds one daemon's replica of the document and the facts, and returns the messages to send to peers.
// It must not be used concurrently.
type Table struct {
	seat    int
	version Version
	// patches are the latest patches, oldest first. The last one led to version.
	patches []Patch
	facts   facts
	// confirmedAt is the latest time at which version is known to have been the newest in the store.
	// It is valid when confirmed is set.
	confirmedAt tiller.Millis
	confirmed   bool
	nextTick    tiller.Millis
	// received holds the new facts from other daemons since the last call of TakeReceived.
	received []Fact
}

// New returns an empty Table for the daemon with the given seat.
func New(seat int, now tiller.Millis) *Table {
	return &Table{seat: seat, nextTick: now + CompareMillis}
}

// Revision returns the revision in force; 0 means none.
func (t *Table) Revision() int64 { return t.version.Revision }

// Document returns the document in force; nil means none.
func (t *Table) Document() *tiller.Document {
	if t.version.Revision == 0 {
		return nil
	}
	return t.version.Document()
}

// Age returns the time in milliseconds since the revision in force was last confirmed as the newest in
// the store, or -1 if it never was.
func (t *Table) Age(now tiller.Millis) tiller.Millis {
	if !t.confirmed {
		return -1
	}
	return now - t.confirmedAt
}

func (t *Table) Fact(key string) (Fact, bool) { return t.facts.get(key) }

// TakeReceived returns the new facts received from other daemons since the last call.
func (t *Table) TakeReceived() []Fact {
	received := t.received
	t.received = nil
	return received
}

// NextWake returns the time at which Tick is due.
func (t *Table) NextWake() tiller.Millis { return t.nextTick }

// Confirm records that revision was the newest in the store at the time now.
// It has no effect unless revision is in force.
func (t *Table) Confirm(now tiller.Millis, revision int64) {
	if revision == t.version.Revision {
		t.setConfirmedAt(now)
	}
}

// SetDocument puts a document that was the newest in the store at the time now into force, and returns the
// messages that push it to random peers. A document with the revision in force only confirms it, as
// Confirm does; one with a lower revision is ignored.
func (t *Table) SetDocument(now tiller.Millis, d *tiller.Document, random uint64) []Envelope {
	if d.Revision <= t.version.Revision {
		t.Confirm(now, d.Revision)
		return nil
	}
	next := NewVersion(d)
	patch := t.version.PatchTo(next)
	t.replace(next, patch)
	t.setConfirmedAt(now)
	return t.sendNewest(now, random)
}

// Announce stores a fact of this daemon. When it is new, it returns the messages that push it to random peers.
func (t *Table) Announce(f Fact, random uint64) []Envelope {
	if !t.facts.put(f) {
		return nil
	}
	return t.toRandomPeers(random, PushPeers, Message{Push: &Push{Facts: []Fact{f}, Age: -1}})
}

// Tick starts a comparison with one random peer when it is due.
func (t *Table) Tick(now tiller.Millis, random uint64) []Envelope {
	if now < t.nextTick {
		return nil
	}
	t.nextTick = now + CompareMillis
	return t.toRandomPeers(random, 1, Message{Digest: t.digest(now)})
}

// Receive handles a message from the daemon with the seat from, and returns the messages to send.
func (t *Table) Receive(now tiller.Millis, from int, m Message, random uint64) []Envelope {
	switch {
	case m.Digest != nil:
		return t.receiveDigest(now, from, *m.Digest)
	case m.Pull != nil:
		return t.receivePull(now, from, *m.Pull)
	case m.Push != nil:
		return t.receivePush(now, from, *m.Push, random)
	}
	return nil
}

func (t *Table) receiveDigest(now tiller.Millis, from int, d Digest) []Envelope {
	t.mergeAge(now, d.Revision, d.Age)
	var out []Envelope
	wantFacts := d.FactsHash != t.facts.hash
	if d.Revision < t.version.Revision {
		out = append(out, Envelope{To: from, Message: Message{Push: t.pushFor(now, d.Revision)}})
	}
	if d.Revision > t.version.Revision || wantFacts {
		pull := &Pull{Revision: t.version.Revision}
		if wantFacts {
			pull.Buckets = append([]uint64(nil), t.facts.bucketHashes[:]...)
		}
		out = append(out, Envelope{To: from, Message: Message{Pull: pull}})
	}
	return out
}

func (t *Table) receivePull(now tiller.Millis, from int, p Pull) []Envelope {
	push := &Push{Age: -1}
	if p.Revision < t.version.Revision {
		push = t.pushFor(now, p.Revision)
	}
	push.Buckets = t.facts.differingBuckets(p.Buckets)
	push.Facts = t.facts.inBuckets(push.Buckets, FactsPerPush)
	if len(push.Patches) == 0 && push.Document == nil && len(push.Buckets) == 0 {
		return nil
	}
	return []Envelope{{To: from, Message: Message{Push: push}}}
}

func (t *Table) receivePush(now tiller.Millis, from int, p Push, random uint64) []Envelope {
	var out []Envelope
	before := t.version.Revision
	missing := !t.applyPush(p)
	if t.version.Revision > before {
		t.mergeAge(now, t.version.Revision, p.Age)
		out = append(out, t.sendNewest(now, random)...)
	}
	if missing {
		out = append(out, Envelope{To: from, Message: Message{Pull: &Pull{Revision: t.version.Revision}}})
	}
	newer := t.newerFacts(p)
	stored := t.storeFacts(p.Facts)
	if len(stored) > 0 && len(p.Buckets) == 0 {
		out = append(out, t.toRandomPeers(random+1, PushPeers, Message{Push: &Push{Facts: stored, Age: -1}})...)
	}
	if len(newer) > 0 {
		out = append(out, Envelope{To: from, Message: Message{Push: &Push{Facts: newer, Age: -1}}})
	}
	return out
}

// applyPush puts a pushed document and pushed patches that are newer than the version in force into force.
// It returns false when a patch does not apply, such as when patches before it are missing.
func (t *Table) applyPush(p Push) bool {
	if p.Document != nil && p.Document.Revision > t.version.Revision {
		next := NewVersion(p.Document)
		t.replace(next, t.version.PatchTo(next))
	}
	for _, patch := range p.Patches {
		if patch.To <= t.version.Revision {
			continue
		}
		next, err := t.version.Apply(patch)
		if err != nil {
			return false
		}
		t.replace(next, patch)
	}
	return true
}

// storeFacts stores the facts that are new and returns them.
func (t *Table) storeFacts(incoming []Fact) []Fact {
	var stored []Fact
	for _, f := range incoming {
		if t.facts.put(f) {
			stored = append(stored, f)
		}
	}
	t.received = append(t.received, stored...)
	return stored
}

// newerFacts returns the facts of the pushed buckets that the push does not hold or holds in a lower version.
func (t *Table) newerFacts(p Push) []Fact {
	if len(p.Buckets) == 0 {
		return nil
	}
	theirs := make(map[string]int64, len(p.Facts))
	for _, f := range p.Facts {
		theirs[f.Key] = f.Version
	}
	var newer []Fact
	for _, f := range t.facts.inBuckets(p.Buckets, FactsPerPush) {
		version, known := theirs[f.Key]
		if !known || version < f.Version {
			newer = append(newer, f)
		}
	}
	return newer
}

func (t *Table) replace(next Version, patch Patch) {
	t.version = next
	t.confirmed = false
	t.patches = append(t.patches, patch)
	if len(t.patches) > PatchesKept {
		t.patches = t.patches[len(t.patches)-PatchesKept:]
	}
}

// pushFor returns the patches from a peer's revision to the one in force, or the document when the
// patch from that revision is not kept.
func (t *Table) pushFor(now tiller.Millis, revision int64) *Push {
	push := &Push{Age: t.Age(now)}
	for n, patch := range t.patches {
		if patch.From == revision && revision > 0 {
			push.Patches = t.patches[n:]
			return push
		}
	}
	push.Document = t.version.Document()
	return push
}

func (t *Table) digest(now tiller.Millis) *Digest {
	return &Digest{
		Revision:  t.version.Revision,
		Hash:      t.version.Hash,
		Age:       t.Age(now),
		FactsHash: t.facts.hash,
	}
}

// sendNewest returns messages that push the newest patch to random peers. The first document of a table has no patch
// that a peer could apply; a digest announces it, and peers pull it.
func (t *Table) sendNewest(now tiller.Millis, random uint64) []Envelope {
	newest := t.patches[len(t.patches)-1]
	if newest.From == 0 {
		return t.toRandomPeers(random, PushPeers, Message{Digest: t.digest(now)})
	}
	push := &Push{Patches: []Patch{newest}, Age: t.Age(now)}
	return t.toRandomPeers(random, PushPeers, Message{Push: push})
}

func (t *Table) setConfirmedAt(at tiller.Millis) {
	if !t.confirmed || at > t.confirmedAt {
		t.confirmed = true
		t.confirmedAt = at
	}
}

// mergeAge confirms the revision in force from the age that a peer reports for the same revision.
func (t *Table) mergeAge(now tiller.Millis, revision int64, age tiller.Millis) {
	if age >= 0 && revision == t.version.Revision {
		t.setConfirmedAt(now - age)
	}
}

// toRandomPeers addresses a message to n different random seats, never to the daemon's own,
// or to all others when there are fewer than n.
func (t *Table) toRandomPeers(random uint64, n int, m Message) []Envelope {
	seats := t.version.Header.Seats
	if seats < 2 {
		return nil
	}
	n = min(n, seats-1)
	rng := rand.New(rand.NewPCG(random, uint64(t.seat)))
	chosen := make(map[int]bool, n)
	out := make([]Envelope, 0, n)
	for len(out) < n {
		seat := rng.IntN(seats)
		if seat == t.seat || chosen[seat] {
			continue
		}
		chosen[seat] = true
		out = append(out, Envelope{To: seat, Message: m})
	}
	return out
}
