package distributor

import (
	"cmp"
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Header holds the parts of a document that every patch carries whole, because they are small.
type Header struct {
	Environment string
	Seats       int
	Domains     []tiller.Domain
	Moves       []tiller.Move
}

// Patch leads from one revision of a document to a later one.
type Patch struct {
	From int64
	To   int64
	// Hash is the hash of the document after the patch.
	Hash             uint64
	Header           Header
	Upstreams        []tiller.Upstream
	RemovedUpstreams []string
	Services         []tiller.Service
	RemovedServices  []string
}

// ErrPatchBase says that a patch does not start at the revision that is in force.
var ErrPatchBase = errors.New("patch starts at another revision")

// ErrPatchHash says that the patched document is not the one that the patch was made from.
var ErrPatchHash = errors.New("patched document has another hash")

// Version is one revision of a document, indexed by name. It is immutable.
type Version struct {
	Revision  int64
	Hash      uint64
	Header    Header
	Upstreams map[string]tiller.Upstream
	Services  map[string]tiller.Service
}

// NewVersion indexes a document.
func NewVersion(d *tiller.Document) Version {
	v := Version{
		Revision:  d.Revision,
		Header:    Header{Environment: d.Environment, Seats: d.Seats, Domains: d.Domains, Moves: d.Moves},
		Upstreams: make(map[string]tiller.Upstream, len(d.Upstreams)),
		Services:  make(map[string]tiller.Service, len(d.Services)),
	}
	v.Hash = hashOf("header", v.Header)
	for _, u := range d.Upstreams {
		v.Upstreams[u.Name] = u
		v.Hash += hashOf("upstream", u)
	}
	for _, s := range d.Services {
		v.Services[s.Name] = s
		v.Hash += hashOf("service", s)
	}
	return v
}

// Document returns the document with its upstreams and services ordered by name.
func (v Version) Document() *tiller.Document {
	d := &tiller.Document{
		Environment: v.Header.Environment,
		Revision:    v.Revision,
		Seats:       v.Header.Seats,
		Domains:     v.Header.Domains,
		Moves:       v.Header.Moves,
		Upstreams:   slices.Collect(maps.Values(v.Upstreams)),
		Services:    slices.Collect(maps.Values(v.Services)),
	}
	slices.SortFunc(d.Upstreams, func(a, b tiller.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b tiller.Service) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

// PatchTo returns the patch that leads from v to next.
func (v Version) PatchTo(next Version) Patch {
	p := Patch{From: v.Revision, To: next.Revision, Hash: next.Hash, Header: next.Header}
	p.Upstreams, p.RemovedUpstreams = diffByName(v.Upstreams, next.Upstreams)
	p.Services, p.RemovedServices = diffByName(v.Services, next.Services)
	return p
}

// Apply returns the version that the patch leads to.
// It fails with ErrPatchBase or ErrPatchHash and then changes nothing.
func (v Version) Apply(p Patch) (Version, error) {
	if p.From != v.Revision {
		return v, ErrPatchBase
	}
	next := Version{
		Revision:  p.To,
		Hash:      v.Hash - hashOf("header", v.Header) + hashOf("header", p.Header),
		Header:    p.Header,
		Upstreams: maps.Clone(v.Upstreams),
		Services:  maps.Clone(v.Services),
	}
	next.Hash += patchInPlace("upstream", next.Upstreams, p.Upstreams, p.RemovedUpstreams, upstreamName)
	next.Hash += patchInPlace("service", next.Services, p.Services, p.RemovedServices, serviceName)
	if next.Hash != p.Hash {
		return v, ErrPatchHash
	}
	return next, nil
}

func upstreamName(u tiller.Upstream) string { return u.Name }

func serviceName(s tiller.Service) string { return s.Name }

// changes returns the values of next that differ from old, ordered by name, and the names that next lacks.
func diffByName[T any](old, next map[string]T) (changed []T, removed []string) {
	for _, name := range slices.Sorted(maps.Keys(next)) {
		before, ok := old[name]
		if !ok || !reflect.DeepEqual(before, next[name]) {
			changed = append(changed, next[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// patchMap changes m in place and returns the difference of its hash.
func patchInPlace[T any](kind string, m map[string]T, changed []T, removed []string, nameOf func(T) string) uint64 {
	var diff uint64
	remove := func(name string) {
		if before, ok := m[name]; ok {
			diff -= hashOf(kind, before)
			delete(m, name)
		}
	}
	for _, name := range removed {
		remove(name)
	}
	for _, value := range changed {
		remove(nameOf(value))
		m[nameOf(value)] = value
		diff += hashOf(kind, value)
	}
	return diff
}

// hashOf hashes the JSON form of a value. Sums of these hashes do not depend on the order of the values.
func hashOf(kind string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		// The document types hold only strings, numbers, booleans and slices of them.
		panic(errors.Wrap(err, "encode part of a document"))
	}
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write(text)
	return h.Sum64()
}
