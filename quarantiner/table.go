package quarantiner

import (
	"slices"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// EntryTTLMillis is the time for which a digest stays blocked, suspected or clean.
	EntryTTLMillis = 10 * tiller.Minute
	// DomainWindowMillis is the window in which the loss of several upstreams of one failure domain counts as
	// a failure of the domain and not as the effect of a request.
	DomainWindowMillis = tiller.Second
	// repeatedLossMillis is the maximum time between two reports of the same loss of an upstream.
	repeatedLossMillis = tiller.Second
	// blockThreshold is the number of distinct lost upstreams at which a digest is blocked.
	blockThreshold = 2
	// maxSuspects is the maximum number of digests with losses.
	maxSuspects = 4096
)

// Suspect is a digest with losses, in the form that daemons exchange.
type Suspect struct {
	Digest uint64
	// Losses is the number of distinct upstreams lost.
	Losses int
	// Expires is the time in milliseconds until the losses expire.
	Expires tiller.Millis
}

// Table holds the losses by digest and the clean digests. It is mutable and not safe for concurrent use.
type Table struct {
	suspects map[uint64]suspect
	clean    *cleanSet
	// domainLosses holds the most recent losses of upstreams by failure domain.
	domainLosses map[string][]upstreamLoss
	// attributed holds, by upstream, the times of the losses that are attributed to a blocked digest.
	attributed map[string]tiller.Millis
}

// suspect holds the losses of a digest. It is immutable.
type suspect struct {
	losses  []loss
	expires tiller.Millis
}

type loss struct {
	upstream string
	domain   string
	at       tiller.Millis
}

type upstreamLoss struct {
	upstream string
	at       tiller.Millis
}

// New returns an empty table that holds at most cleanLimit clean digests. A cleanLimit below 2 counts as 2.
func New(cleanLimit int) *Table {
	return &Table{
		suspects:     make(map[uint64]suspect),
		clean:        newCleanSet(cleanLimit),
		domainLosses: make(map[string][]upstreamLoss),
		attributed:   make(map[string]tiller.Millis),
	}
}

// Losses returns the number of distinct upstreams lost while the digest was outstanding on them.
func (t *Table) Losses(now tiller.Millis, digest uint64) int {
	s, ok := t.suspects[digest]
	if !ok {
		return 0
	}
	if now >= s.expires {
		delete(t.suspects, digest)
		return 0
	}
	return len(s.losses)
}

// Blocked reports whether requests with the digest are refused.
func (t *Table) Blocked(now tiller.Millis, digest uint64) bool {
	return t.Losses(now, digest) >= blockThreshold
}

// Suspected reports whether an upstream was lost while the digest was outstanding on it.
func (t *Table) Suspected(now tiller.Millis, digest uint64) bool {
	return t.Losses(now, digest) > 0
}

// Clean reports whether the digest is known to be harmless.
func (t *Table) Clean(now tiller.Millis, digest uint64) bool {
	return t.clean.has(now, digest) && !t.Suspected(now, digest)
}

// LostUpstreams returns the upstreams lost while the digest was outstanding on them.
func (t *Table) LostUpstreams(now tiller.Millis, digest uint64) []string {
	if t.Losses(now, digest) == 0 {
		return nil
	}
	var upstreams []string
	for _, l := range t.suspects[digest].losses {
		upstreams = append(upstreams, l.upstream)
	}
	return upstreams
}

// IsLossFree reports whether a failure domain had no loss within the last DomainWindowMillis, so that the next
// loss there counts against the outstanding requests.
func (t *Table) IsLossFree(now tiller.Millis, domain string) bool {
	for _, l := range t.domainLosses[domain] {
		if l.at+DomainWindowMillis > now {
			return false
		}
	}
	return true
}

// RecordSuccess records that a request with the digest got its response. It discards the losses of the digest
// unless the digest is blocked.
func (t *Table) RecordSuccess(now tiller.Millis, digest uint64) {
	if t.Blocked(now, digest) {
		return
	}
	delete(t.suspects, digest)
}

// RecordCompletion records that a request with the digest completed normally, and marks the digest as clean.
func (t *Table) RecordCompletion(now tiller.Millis, digest uint64) {
	t.RecordSuccess(now, digest)
	t.clean.add(now, digest)
}

// RecordLoss records that an upstream was lost while the digests were outstanding on it, and returns the
// digests that become blocked.
func (t *Table) RecordLoss(now tiller.Millis, upstream, domain string, digests []uint64) []uint64 {
	if t.recordDomainLoss(now, upstream, domain) {
		t.discardDomainLosses(now, domain)
		return nil
	}
	if at, ok := t.attributed[upstream]; ok && now-at < repeatedLossMillis {
		return nil
	}
	var blocked []uint64
	for _, digest := range digests {
		before := t.Losses(now, digest)
		t.addLoss(now, digest, loss{upstream: upstream, domain: domain, at: now})
		if before < blockThreshold && t.Blocked(now, digest) {
			blocked = append(blocked, digest)
		}
	}
	for _, digest := range blocked {
		t.discardAttributedLosses(now, digest)
	}
	return blocked
}

// discardAttributedLosses attributes the losses of a blocked digest to it, and removes them from the digests
// that are not blocked and were outstanding on the same upstreams.
func (t *Table) discardAttributedLosses(now tiller.Millis, blocked uint64) {
	for upstream, at := range t.attributed {
		if now-at >= repeatedLossMillis {
			delete(t.attributed, upstream)
		}
	}
	cause := t.suspects[blocked].losses
	for _, l := range cause {
		t.attributed[l.upstream] = l.at
	}
	for digest, s := range t.suspects {
		if len(s.losses) < blockThreshold {
			t.filterLosses(digest, func(l loss) bool { return !isAttributed(l, cause) })
		}
	}
}

func isAttributed(l loss, cause []loss) bool {
	return slices.ContainsFunc(cause, func(c loss) bool {
		return c.upstream == l.upstream && max(c.at-l.at, l.at-c.at) < repeatedLossMillis
	})
}

// filterLosses removes the losses of a digest for which f returns false.
func (t *Table) filterLosses(digest uint64, f func(loss) bool) {
	s := t.suspects[digest]
	kept := slices.DeleteFunc(slices.Clone(s.losses), func(l loss) bool { return !f(l) })
	if len(kept) == 0 {
		delete(t.suspects, digest)
		return
	}
	t.suspects[digest] = suspect{losses: kept, expires: s.expires}
}

// MergeRemote raises the number of losses of a digest to the number that another daemon holds, at most
// blockThreshold, and reports whether the digest becomes blocked. The added losses name no upstream.
func (t *Table) MergeRemote(now tiller.Millis, s Suspect) bool {
	before := t.Losses(now, s.Digest)
	if s.Losses <= before || s.Expires <= 0 {
		return false
	}
	if !t.hasCapacity(now) {
		return false
	}
	merged := suspect{expires: now + min(s.Expires, EntryTTLMillis)}
	merged.losses = slices.Clone(t.suspects[s.Digest].losses)
	for len(merged.losses) < min(s.Losses, blockThreshold) {
		merged.losses = append(merged.losses, loss{at: now})
	}
	t.suspects[s.Digest] = merged
	return before < blockThreshold && s.Losses >= blockThreshold
}

// MergeLosses adds the losses of a digest that another daemon saw, and reports whether the digest becomes
// blocked.
func (t *Table) MergeLosses(now tiller.Millis, digest uint64, upstreams []string, expires tiller.Millis) bool {
	before := t.Losses(now, digest)
	if expires <= 0 || before >= blockThreshold {
		return false
	}
	for _, upstream := range upstreams[:min(len(upstreams), blockThreshold)] {
		t.addLoss(now, digest, loss{upstream: upstream, at: now})
	}
	return t.Losses(now, digest) >= blockThreshold
}

// Suspects returns at most limit digests with losses, by descending number of losses, then by digest.
func (t *Table) Suspects(now tiller.Millis, limit int) []Suspect {
	if len(t.suspects) == 0 {
		return nil
	}
	found := make([]Suspect, 0, len(t.suspects))
	for digest, s := range t.suspects {
		if now < s.expires {
			found = append(found, Suspect{Digest: digest, Losses: len(s.losses), Expires: s.expires - now})
		}
	}
	slices.SortFunc(found, compareSuspects)
	return found[:min(limit, len(found))]
}

func compareSuspects(a, b Suspect) int {
	if a.Losses != b.Losses {
		return b.Losses - a.Losses
	}
	if a.Digest < b.Digest {
		return -1
	}
	return 1
}

func (t *Table) addLoss(now tiller.Millis, digest uint64, l loss) {
	old := t.suspects[digest]
	for _, o := range old.losses {
		if o.upstream == l.upstream {
			return
		}
	}
	if len(old.losses) == 0 && !t.hasCapacity(now) {
		return
	}
	t.suspects[digest] = suspect{
		losses:  append(slices.Clone(old.losses), l),
		expires: now + EntryTTLMillis,
	}
	t.clean.remove(digest)
}

// hasCapacity reports whether a digest can be added. At maxSuspects digests it removes the expired ones first.
func (t *Table) hasCapacity(now tiller.Millis) bool {
	if len(t.suspects) < maxSuspects {
		return true
	}
	for digest, s := range t.suspects {
		if now >= s.expires {
			delete(t.suspects, digest)
		}
	}
	return len(t.suspects) < maxSuspects
}

// recordDomainLoss records the loss of an upstream, and reports whether another upstream of its failure domain
// was lost within the last DomainWindowMillis.
func (t *Table) recordDomainLoss(now tiller.Millis, upstream, domain string) bool {
	recent := t.domainLosses[domain][:0]
	failed := false
	for _, l := range t.domainLosses[domain] {
		if l.at+DomainWindowMillis <= now || l.upstream == upstream {
			continue
		}
		recent = append(recent, l)
		failed = true
	}
	t.domainLosses[domain] = append(recent, upstreamLoss{upstream: upstream, at: now})
	return failed
}

// discardDomainLosses removes the losses in a failure domain within the last DomainWindowMillis from all
// digests.
func (t *Table) discardDomainLosses(now tiller.Millis, domain string) {
	for digest := range t.suspects {
		t.filterLosses(digest, func(l loss) bool { return l.domain != domain || l.at+DomainWindowMillis <= now })
	}
}
