package gatherer

import "github.com/carawaytiller/carawaytiller/cataloger"

// split divides the requests of a route among its services exactly in proportion to their weights
// (smooth weighted round-robin).
type serviceSplit struct {
	services []cataloger.Weighted
	credit   []float64
}

// pickService returns the service that takes the next request of a route.
func (s *State) pickService(r cataloger.Route) string {
	if len(r.Services) == 0 {
		return ""
	}
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	d, ok := s.splits[r.Name]
	if !ok || !sameServices(d.services, r.Services) {
		d = &serviceSplit{services: r.Services, credit: make([]float64, len(r.Services))}
		total := 0.0
		for _, w := range r.Services {
			total += w.Weight
		}
		// Daemons start at different places, so that few requests on each still add up to the weights.
		for i := range d.credit {
			d.credit[i] = s.random.Float64() * total
		}
		s.splits[r.Name] = d
	}
	return d.next()
}

func (d *serviceSplit) next() string {
	best, total := -1, 0.0
	for i, w := range d.services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		d.credit[i] += w.Weight
		if best < 0 || d.credit[i] > d.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	d.credit[best] -= total
	return d.services[best].Service
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
