package gatherer

import "github.com/carawaytiller/carawaytiller/cataloger"

// serviceSplit divides the requests of a route among its services in exact proportion to their weights, by
// smooth weighted round-robin.
type serviceSplit struct {
	services []cataloger.Weighted
	credit   []float64
}

// pickService returns the service for the next request of a route, or "" if no service has a positive weight.
func (s *State) pickService(r cataloger.Route) string {
	if len(r.Services) == 0 {
		return ""
	}
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	split, ok := s.splits[r.Name]
	if !ok || !sameServices(split.services, r.Services) {
		split = &serviceSplit{services: r.Services, credit: make([]float64, len(r.Services))}
		total := 0.0
		for _, w := range r.Services {
			total += w.Weight
		}
		// Daemons start at random offsets, so that the totals match the weights even with few requests per daemon.
		for i := range split.credit {
			split.credit[i] = s.random.Float64() * total
		}
		s.splits[r.Name] = split
	}
	return split.next()
}

func (split *serviceSplit) next() string {
	best, total := -1, 0.0
	for i, w := range split.services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		split.credit[i] += w.Weight
		if best < 0 || split.credit[i] > split.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	split.credit[best] -= total
	return split.services[best].Service
}

func sameServices(a, b []cataloger.Weighted) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
