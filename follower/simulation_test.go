package follower

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

const (
	simulatedDaemons = 5
	simulatedKeys    = 12
	simulatedSteps   = 120
	// maxBehind is the largest number of revisions that a stale page is behind.
	maxBehind = 8
)

// state is the last change of an upstream's entry.
type state struct {
	revision int64
	present  bool
	draining bool
}

// simulation drives daemons that read the store, watch it, follow each other and start again in a random order, while
// entries change.
type simulation struct {
	*knowledge
	random   *rand.Rand
	revision int64
	states   map[string]state
	daemons  []*known
	steps    []string
	// era is the store's era; 0 if it states none. past holds the states at the end of the eras before it, saved the
	// copy from which the store comes back.
	era   int64
	past  map[int64]map[string]state
	saved savedStore
}

// savedStore is a copy of the store with what is known of it.
type savedStore struct {
	copy     faker.Copy
	revision int64
	states   map[string]state
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), states: make(map[string]state)}
	s.knowledge = newKnowledge(t)
	// newKnowledge has written four entries; the store begins with revision 1.
	s.revision = 5
	s.states["i-stays"] = state{revision: 2, present: true}
	// Entries also change between the pages of a read.
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.random.IntN(3) == 0 {
			s.change()
		}
		if s.era > 0 && s.random.IntN(60) == 0 {
			s.restore()
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	s.store.SetPages(3, func(int) int64 { return s.random.Int64N(maxBehind) })
	s.past = make(map[int64]map[string]state)
	s.save()
	for range simulatedDaemons {
		s.daemons = append(s.daemons, s.daemon())
	}
	return s
}

// save makes the copy from which the store comes back.
func (s *simulation) save() {
	s.saved = savedStore{copy: s.store.Copy(), revision: s.revision, states: maps.Clone(s.states)}
}

// restore lets the store come back from the latest copy.
func (s *simulation) restore() {
	s.store.Restore(s.saved.copy)
	s.past[s.era] = s.states
	s.era++
	s.revision, s.states = s.saved.revision, maps.Clone(s.saved.states)
}

// change registers, changes or removes an upstream, or writes the other entries.
func (s *simulation) change() {
	id := fmt.Sprintf("i-%d", s.random.IntN(simulatedKeys))
	switch s.random.IntN(8) {
	case 0:
		s.touch()
		s.revision += 3
	case 1, 2, 3:
		if s.states[id].present {
			s.store.Remove("servers/" + id)
			s.revision++
			s.states[id] = state{revision: s.revision}
		}
	default:
		draining := s.random.IntN(2) == 0
		value := `{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready"}`
		if draining {
			value = `{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"draining"}`
		}
		s.store.Put("servers/"+id, value)
		s.revision++
		s.states[id] = state{revision: s.revision, present: true, draining: draining}
	}
}

// step lets one daemon take one step. It returns the daemon.
func (s *simulation) step() *known {
	n := s.random.IntN(len(s.daemons))
	d, other := s.daemons[n], s.daemons[s.random.IntN(len(s.daemons))]
	note := func(format string, args ...any) {
		s.steps = append(s.steps, fmt.Sprintf("%d: ", n)+fmt.Sprintf(format, args...))
	}
	otherAhead := d.table.Position().Before(other.table.Position())
	switch {
	case d.table.Revision() == 0 && otherAhead && other.dataAge() < d.timing.MaxAge(0) && s.random.IntN(2) == 0:
		require.True(s.t, d.followSeed(s.ctx, other.source.member.Address))
		note("seed, revision %d", d.table.Revision())
	case d.table.Revision() == 0:
		s.read(d, true)
		note("read, revision %d", d.table.Revision())
	case s.random.IntN(12) == 0:
		s.daemons[n] = s.daemon()
		note("restart")
		return s.daemons[n]
	case otherAhead && s.random.IntN(3) > 0:
		s.follow(d, other)
		note("follow, revision %d", d.table.Revision())
	case s.random.IntN(3) == 0:
		s.watch(d)
		note("watch, revision %d", d.table.Revision())
	}
	return d
}

// watch lets a daemon watch the store, and read all entries if the history is gone.
func (s *simulation) watch(d *known) {
	items, position, err := d.store.Watch(s.ctx, "", d.table.Position(), 1)
	if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrRestored) {
		s.read(d, false)
		return
	}
	require.NoError(s.t, err)
	d.noteStoreAnswer()
	d.readsStore = true
	d.applyAll(items, position, false)
}

// read lets a daemon read all entries, which fails if the store comes back from a copy meanwhile.
func (s *simulation) read(d *known, stale bool) {
	era := s.era
	d.readsStore = true
	if err := d.readAll(s.ctx, stale); s.era == era {
		require.NoError(s.t, err)
	}
}

// requireKnown checks that a daemon knows every change up to the position that it claims to reflect. States of an
// earlier era may still be kept.
func (s *simulation) requireKnown(d *known, seed uint64) {
	revision, states := d.table.Revision(), s.states
	if era := d.table.Position().Era; era < s.era {
		states = s.past[era]
	}
	for id, last := range states {
		_, missing := d.missingUntil[id]
		_, kept := d.keptUntil["servers/"+id]
		if last.revision > revision || missing || kept {
			continue
		}
		u, ok := d.upstreams[id]
		require.Equal(s.t, last.present, ok, "seed %d: %s at revision %d, last change %d: %v", seed, id, revision, last.revision, s.steps)
		require.Equal(s.t, last.draining, u.Draining, "seed %d: %s at revision %d, last change %d: %v", seed, id, revision, last.revision, s.steps)
	}
}

// Guards against any order of reads, watches, restarts and hand-overs between daemons after which a daemon does not know
// a change that is older than the revision it claims: it would go on using an upstream that has left, for good.
func TestDaemonsKnowAllChangesUpToTheirRevision(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(t, seed)
		for range simulatedSteps {
			for range s.random.IntN(3) {
				s.change()
			}
			if s.random.IntN(15) == 0 {
				s.store.Compact()
			}
			s.requireKnown(s.step(), seed)
		}
	}
}

// Guards against any order of returns of the store from copies, in addition, after which a daemon does not know a change
// of its era, or keeps a state of an earlier one for good.
func TestDaemonsKnowAllChangesOfTheirEra(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(t, seed)
		s.era = 1
		s.store.SetEra(s.era)
		for range simulatedSteps {
			for range s.random.IntN(3) {
				s.change()
			}
			switch s.random.IntN(30) {
			case 0:
				s.store.Compact()
			case 1, 2:
				s.save()
			case 3, 4:
				s.restore()
			case 5:
				s.passed += reregisterMillis
			}
			d := s.step()
			d.removeExpired()
			s.requireKnown(d, seed)
		}
		for _, d := range s.daemons {
			s.passed += reregisterMillis
			d.removeExpired()
			require.Empty(t, d.keptUntil)
			require.Empty(t, d.missingUntil)
			s.requireKnown(d, seed)
		}
	}
}
