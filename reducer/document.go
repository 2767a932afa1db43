package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/limiter"
	"github.com/carawaytiller/carawaytiller/router"
)

// service is a service of the document in force, with what follows from its upstreams. It is immutable.
type service struct {
	spec      tiller.Service
	upstreams []tiller.Upstream
	owners    int
	// since is the time at which this number of owners was first seen.
	since tiller.Millis
}

// catalog indexes the parts of a document.
type catalog struct {
	upstreams map[string]tiller.Upstream
	domains   map[string]tiller.Domain
}

func newCatalog(d *tiller.Document) catalog {
	c := catalog{
		upstreams: make(map[string]tiller.Upstream, len(d.Upstreams)),
		domains:   make(map[string]tiller.Domain, len(d.Domains)),
	}
	for _, u := range d.Upstreams {
		c.upstreams[u.Name] = u
	}
	for _, domain := range d.Domains {
		c.domains[domain.Name] = domain
	}
	return c
}

// onDocument puts a document in force. Its cost grows with the size of the document;
// queries keep the snapshots that they are pinned to.
func (s *State) onDocument(e DocumentApplied) {
	d := e.Document
	if d == nil || s.document != nil && d.Revision <= s.document.Revision {
		s.count(CountStaleDocument, "", 1)
		return
	}
	s.document = d
	s.catalog = newCatalog(d)
	s.epoch = router.Epoch(d)
	s.listUpstreams()
	s.listServices()
	s.adoptAll()
	s.announceUnits()
}

// listUpstreams replaces the document entries of the upstreams that something is known of.
func (s *State) listUpstreams() {
	for name, u := range s.upstreams {
		_, u.listed = s.catalog.upstreams[name]
		s.prune(name, u)
	}
	for _, spec := range s.document.Upstreams {
		u, ok := s.upstreams[spec.Name]
		if !ok {
			continue
		}
		replaced := spec.Address != u.spec.Address
		closed := u.out || u.spec.Leaving
		u.spec = spec
		u.out = s.catalog.domains[spec.Domain].Out
		if replaced {
			u.draining, u.incarnation = false, 0
			s.restart(u, false)
		}
		// An upstream that comes back into service starts cold, whether or not it was restarted meanwhile.
		if closed && !u.out && !spec.Leaving {
			s.chill(u)
		}
	}
}

// prune forgets an upstream that the document does not list. One that is draining is
// remembered for a while, because another revision may list it again.
func (s *State) prune(name string, u *upstream) {
	isDraining := u.draining && s.now-u.drainingAt < drainMemoryMillis
	if !u.listed && len(u.members) == 0 && !isDraining {
		delete(s.upstreams, name)
	}
}

func (s *State) listServices() {
	before := s.services
	s.services = make(map[string]*service, len(s.document.Services))
	for _, spec := range s.document.Services {
		sv := &service{spec: spec, upstreams: s.catalog.upstreamsOf(spec)}
		sv.owners = router.UnitCount(sv.upstreams, s.document.Seats)
		sv.since = s.now
		if old, ok := before[spec.Name]; ok && old.owners == sv.owners {
			sv.since = old.since
		}
		s.services[spec.Name] = sv
	}
}

// upstreamsOf returns the upstreams that hold a shard of any snapshot of a service,
// in the order in which it names them.
func (c catalog) upstreamsOf(spec tiller.Service) []tiller.Upstream {
	var found []tiller.Upstream
	seen := make(map[string]struct{})
	for _, n := range spec.Snapshots {
		for _, sh := range n.Shards {
			for _, name := range sh.Upstreams {
				if _, ok := seen[name]; ok {
					continue
				}
				seen[name] = struct{}{}
				if u, ok := c.upstreams[name]; ok {
					found = append(found, u)
				}
			}
		}
	}
	return found
}

// adoptAll brings every unit in line with the document. A unit that the document no longer has
// sends nothing new; what waits in it is taken to the units that there are.
func (s *State) adoptAll() {
	for id, u := range s.units {
		u.service = nil
		if sv, ok := s.services[id.Service]; ok && id.Index < sv.owners {
			u.service = sv
		}
	}
	for _, u := range s.held {
		s.adopt(u)
		s.touch(u)
	}
}

// member returns the unit's part of an upstream, which it adds when it is new.
func (s *State) member(u *unit, name string) *member {
	m, ok := u.members[name]
	if ok {
		return m
	}
	up := s.upstream(name)
	m = &member{unit: u, upstream: up, limit: limiter.New(0, 0), attempts: make(map[tiller.AttemptID]struct{})}
	m.resumeTimer = timer{kind: timerResume, member: m}
	m.quotaTimer = timer{kind: timerQuota, member: m}
	u.members[name] = m
	u.list = append(u.list, m)
	up.members = append(up.members, m)
	return m
}

// upstream returns what is known of an upstream, which it begins to keep when it is new.
func (s *State) upstream(name string) *upstream {
	u, ok := s.upstreams[name]
	if ok {
		return u
	}
	u = &upstream{spec: tiller.Upstream{Name: name}, lostAt: -1}
	s.upstreams[name] = u
	if spec, ok := s.catalog.upstreams[name]; ok {
		u.spec, u.listed = spec, true
		u.out = s.catalog.domains[spec.Domain].Out
	}
	return u
}

// listed returns what is known of an upstream of the document in force. A sign may come
// before the first attempt.
func (s *State) listed(name string) (*upstream, bool) {
	if _, ok := s.catalog.upstreams[name]; !ok {
		u, ok := s.upstreams[name]
		return u, ok
	}
	return s.upstream(name), true
}

// setQuota gives a member its part of the upstream's slots. A smaller quota holds at once, a larger one
// when every daemon has the revision, unless nobody else has a part of the upstream.
func (s *State) setQuota(m *member, spec tiller.Upstream) {
	owners, index := m.unit.service.owners, m.unit.id.Index
	quota := router.Quota(spec.Slots, spec.Name, index, owners)
	allowance := 0
	if router.ColdUnit(spec.Name, owners) == index {
		allowance = max(spec.ColdSlots, 1)
	}
	fresh := m.limit.Quota() == 0 && m.limit.InFlight() == 0
	s.disarm(&m.quotaTimer)
	switch {
	case fresh && s.quotaHolds(m.unit.service):
		m.limit = limiter.New(quota, allowance)
	case quota <= m.limit.Quota() || s.cfg.Holding == nil:
		m.limit = m.limit.WithQuota(quota, allowance)
	default:
		m.limit = m.limit.WithQuota(m.limit.Quota(), allowance)
		m.grownQuota = quota
		s.arm(&m.quotaTimer, s.now+quotaGrowthMillis)
	}
}

// quotaHolds says whether every daemon divides the service's upstreams in the same way.
func (s *State) quotaHolds(sv *service) bool {
	return sv.owners == 1 || s.cfg.Holding == nil || s.now-sv.since >= quotaGrowthMillis
}
