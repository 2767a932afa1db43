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

// Header holds the parts of a document that are small enough for every patch to carry them in full.
type Header struct {
	Environment string
	Seats       int
	Domains     []tiller.Domain
	Moves       []tiller.Move
}

// Patch holds the changes from one revision of a document to a later one.
type Patch struct {
	From int64
	To   int64
	// Hash is the hash of the patched document.
	Hash   uint64
	Header Header
	// Upstreams and Services are those that were added or changed, in full.
	Upstreams        []tiller.Upstream
	RemovedUpstreams []string
	Services         []tiller.Service
	RemovedServices  []string
}

// ErrPatchBase means that a patch was made from another revision than the one it is applied to.
var ErrPatchBase = errors.New("base revision of the patch differs from the document's revision")

// ErrPatchHash means that the patched document differs from the one for which the patch was made.
var ErrPatchHash = errors.New("hash of the patched document differs from the patch's hash")

// Version is one revision of a document, with its upstreams and services indexed by name. It is immutable.
type Version struct {
	Revision  int64
	Hash      uint64
	Header    Header
	Upstreams map[string]tiller.Upstream
	Services  map[string]tiller.Service
}

// NewVersion returns the Version of a document.
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

// PatchTo returns the patch from v to next.
func (v Version) PatchTo(next Version) Patch {
	p := Patch{From: v.Revision, To: next.Revision, Hash: next.Hash, Header: next.Header}
	p.Upstreams, p.RemovedUpstreams = diffByName(v.Upstreams, next.Upstreams)
	p.Services, p.RemovedServices = diffByName(v.Services, next.Services)
	return p
}

// Apply returns the patched version. It returns v with ErrPatchBase or ErrPatchHash when the patch does not apply.
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

// diffByName returns the values of next that old does not have or that differ from old, ordered by name,
// and the names that only old has.
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

// patchInPlace applies changes to m and returns the difference to add to the hash of the document.
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

// hashOf hashes the JSON form of a value. The hash of a document is a sum of such hashes, so that it does not
// depend on the order of the values and can be updated by a patch.
func hashOf(kind string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		// The document types hold only strings, numbers, booleans and slices of them.
		panic(errors.Wrap(err, "encode part of document as JSON"))
	}
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write(text)
	return h.Sum64()
}
