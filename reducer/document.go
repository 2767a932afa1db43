package reducer

import (
	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/limiter"
	"github.com/carawaytiller/carawaytiller/router"
)

// service is a service of the document in force, with its upstreams and its number of owners. It is immutable.
type service struct {
	spec      tiller.Service
	upstreams []tiller.Upstream
	// owners is the number of units into which the service is divided; each unit has one owner.
	owners int
	// ownersSince is the time since which the service has this number of owners.
	ownersSince tiller.Millis
}

// catalog indexes the upstreams and failure domains of a document by name.
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

// onDocument puts a document in force. Its cost is proportional to the size of the document. Running
// queries stay pinned to their snapshots.
func (s *State) onDocument(e DocumentApplied) {
	d := e.Document
	if d == nil || s.document != nil && d.Revision <= s.document.Revision {
		s.count(CountStaleDocument, "", 1)
		return
	}
	s.document = d
	s.catalog = newCatalog(d)
	s.epoch = router.Epoch(d)
	s.updateUpstreams()
	s.rebuildServices()
	s.updateUnits()
	s.announceUnits()
}

// updateUpstreams applies the document to the upstreams that this daemon keeps state for.
func (s *State) updateUpstreams() {
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
		closed := u.domainOut || u.spec.Leaving
		u.spec = spec
		u.domainOut = s.catalog.domains[spec.Domain].Out
		if replaced {
			u.draining, u.incarnation = false, 0
			s.handleRestart(u, false)
		}
		// An upstream that returns to service is treated as cold, whether or not it was restarted meanwhile.
		if closed && !u.domainOut && !spec.Leaving {
			s.resetToCold(u)
		}
	}
}

// prune deletes the state of an upstream that the document does not list and no unit uses. The state of a
// draining upstream is kept for drainRetentionMillis, because a later revision may list it again.
func (s *State) prune(name string, u *upstream) {
	isDraining := u.draining && s.now-u.drainingAt < drainRetentionMillis
	if !u.listed && len(u.members) == 0 && !isDraining {
		delete(s.upstreams, name)
	}
}

func (s *State) rebuildServices() {
	before := s.services
	s.services = make(map[string]*service, len(s.document.Services))
	for _, spec := range s.document.Services {
		sv := &service{spec: spec, upstreams: s.catalog.upstreamsOf(spec)}
		sv.owners = router.UnitCount(sv.upstreams, s.document.Seats)
		sv.ownersSince = s.now
		if old, ok := before[spec.Name]; ok && old.owners == sv.owners {
			sv.ownersSince = old.ownersSince
		}
		s.services[spec.Name] = sv
	}
}

// upstreamsOf returns the upstreams that hold a shard of any snapshot of a service, in the order in which the
// service first names them.
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

// updateUnits applies the document to every unit. A unit that the document no longer has takes no new
// queries; the queries that wait in it are routed again.
func (s *State) updateUnits() {
	for id, u := range s.units {
		u.service = nil
		if sv, ok := s.services[id.Service]; ok && id.Index < sv.owners {
			u.service = sv
		}
	}
	for _, u := range s.unitsWithWork {
		s.updateUnit(u)
		s.markDirty(u)
	}
}

// member returns the unit's part of an upstream, and adds it if necessary.
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
	u.memberList = append(u.memberList, m)
	up.members = append(up.members, m)
	return m
}

// upstream returns the state of an upstream, and adds it if necessary.
func (s *State) upstream(name string) *upstream {
	u, ok := s.upstreams[name]
	if ok {
		return u
	}
	u = &upstream{spec: tiller.Upstream{Name: name}, attributedLossAt: -1}
	s.upstreams[name] = u
	if spec, ok := s.catalog.upstreams[name]; ok {
		u.spec, u.listed = spec, true
		u.domainOut = s.catalog.domains[spec.Domain].Out
	}
	return u
}

// knownUpstream returns the state of an upstream. It adds the state of an upstream that the document in force
// lists, because a restart or a load report may arrive before the first attempt.
func (s *State) knownUpstream(name string) (*upstream, bool) {
	if _, ok := s.catalog.upstreams[name]; !ok {
		u, ok := s.upstreams[name]
		return u, ok
	}
	return s.upstream(name), true
}

// setQuota gives a member its share of the upstream's slots. A smaller quota takes effect immediately. A larger
// one takes effect when every daemon has the revision, unless no other unit has a share of the upstream.
func (s *State) setQuota(m *member, spec tiller.Upstream) {
	owners, index := m.unit.service.owners, m.unit.id.Index
	quota := router.Quota(spec.Slots, spec.Name, index, owners)
	allowance := 0
	if router.ColdUnit(spec.Name, owners) == index {
		allowance = max(spec.ColdSlots, 1)
	}
	unused := m.limit.Quota() == 0 && m.limit.InFlight() == 0
	s.disarm(&m.quotaTimer)
	switch {
	case unused && s.quotaInForce(m.unit.service):
		m.limit = limiter.New(quota, allowance)
	case quota <= m.limit.Quota() || s.cfg.Holding == nil:
		m.limit = m.limit.WithQuota(quota, allowance)
	default:
		m.limit = m.limit.WithQuota(m.limit.Quota(), allowance)
		m.pendingQuota = quota
		s.arm(&m.quotaTimer, s.now+quotaGrowthMillis)
	}
}

// quotaInForce reports whether every daemon divides the slots of the service's upstreams in the same way.
func (s *State) quotaInForce(sv *service) bool {
	return sv.owners == 1 || s.cfg.Holding == nil || s.now-sv.ownersSince >= quotaGrowthMillis
}
