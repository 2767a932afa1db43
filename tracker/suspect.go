package tracker

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	tiller "github.com/carawaytiller/carawaytiller"
)

const (
	// MaxSuspects bounds the list of suspects of one unit; of a longer list, those that expire last are kept.
	MaxSuspects = 32
	// MaxSuspectMillis is the longest time in milliseconds until a suspicion ends.
	MaxSuspectMillis = 10 * tiller.Minute
	// maxLosses bounds the number of losses that is accepted from a message.
	maxLosses = 1 << 16
)

// suspectList holds the suspects of one unit. In items, Expires is a time on this daemon's clock instead of
// a remaining time.
type suspectList struct {
	items []Suspect
	hash  uint64
}

// newSuspectList builds a list from suspects whose Expires is the remaining time. Each digest occurs once, and
// the list has at most MaxSuspects items, ordered by digest. The hash does not cover the times, because they
// differ between clocks.
func newSuspectList(now tiller.Millis, suspects []Suspect) suspectList {
	items := make([]Suspect, 0, len(suspects))
	for _, s := range suspects {
		if s.Expires <= 0 || s.Losses <= 0 {
			continue
		}
		s.Expires = now + min(s.Expires, MaxSuspectMillis)
		s.Losses = min(s.Losses, maxLosses)
		items = append(items, s)
	}
	slices.SortFunc(items, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(b.Expires, a.Expires), cmp.Compare(b.Losses, a.Losses))
	})
	items = compactSuspects(items)
	if len(items) > MaxSuspects {
		slices.SortStableFunc(items, func(a, b Suspect) int { return cmp.Compare(b.Expires, a.Expires) })
		items = items[:MaxSuspects]
		slices.SortFunc(items, func(a, b Suspect) int { return cmp.Compare(a.Digest, b.Digest) })
	}
	return suspectList{items: slices.Clip(items), hash: hashSuspects(items)}
}

// compactSuspects merges adjacent items with the same digest, keeping the latest expiry and the most losses.
func compactSuspects(items []Suspect) []Suspect {
	out := items[:0]
	for _, s := range items {
		if n := len(out); n > 0 && out[n-1].Digest == s.Digest {
			out[n-1].Losses = max(out[n-1].Losses, s.Losses)
			out[n-1].Expires = max(out[n-1].Expires, s.Expires)
			continue
		}
		out = append(out, s)
	}
	return out
}

func hashSuspects(items []Suspect) uint64 {
	if len(items) == 0 {
		return 0
	}
	var b []byte
	for _, s := range items {
		b = binary.LittleEndian.AppendUint64(b, s.Digest)
		b = binary.LittleEndian.AppendUint64(b, uint64(s.Losses))
	}
	return max(1, xxhash.Sum64(b))
}

// remaining returns the suspects that have not expired, with the remaining time in Expires.
func (l suspectList) remaining(now tiller.Millis) []Suspect {
	var out []Suspect
	for _, s := range l.items {
		if now < s.Expires {
			s.Expires -= now
			out = append(out, s)
		}
	}
	return out
}

// Suspects returns the suspects of a unit that this daemon has as owner or stores as voter,
// with the remaining time at now in Expires, ordered by digest.
func (t *Table) Suspects(now tiller.Millis, id UnitID) []Suspect {
	u := t.units[id]
	if u == nil {
		return nil
	}
	return u.suspects.remaining(t.advance(now))
}

// SetSuspects replaces the suspects of a unit that this daemon owns; it does nothing for another unit. The next
// renewals send the suspects to the voters. Expires is the remaining time.
func (t *Table) SetSuspects(now tiller.Millis, id UnitID, suspects []Suspect) {
	now = t.advance(now)
	u := t.units[id]
	if u == nil || !u.candidate.owned {
		return
	}
	u.suspects = newSuspectList(now, suspects)
}

// addSuspects adds the owner's list to a renewal unless the voter is known to store it.
func (u *unitState) addSuspects(now tiller.Millis, rank int, m *Message) {
	m.SuspectsHash = u.suspects.hash
	if rank != u.rank && u.candidate.grants[rank].suspectsHash != u.suspects.hash {
		m.Suspects = u.suspects.remaining(now)
	}
}

// exchangeSuspects stores the list that an owner sent with a renewal, or adds the stored list to the grant of a
// new owner.
func (u *unitState) exchangeSuspects(now tiller.Millis, rank int, m Message, reply *Message) {
	if rank == u.rank {
		reply.SuspectsHash = u.suspects.hash
		return
	}
	if !m.Renewal {
		reply.Suspects = u.suspects.remaining(now)
		return
	}
	if m.SuspectsHash != u.suspects.hash && (m.SuspectsHash == 0 || len(m.Suspects) > 0) {
		u.suspects = newSuspectList(now, m.Suspects)
		u.suspects.hash = m.SuspectsHash
	}
	reply.SuspectsHash = u.suspects.hash
}

// mergeSuspects adds the list from a voter's grant to the list of this daemon.
func (u *unitState) mergeSuspects(now tiller.Millis, m Message) {
	if len(m.Suspects) == 0 {
		return
	}
	u.suspects = newSuspectList(now, append(u.suspects.remaining(now), m.Suspects...))
}
