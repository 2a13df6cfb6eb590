package edge

import (
	"sync"

	"jayshift/core/ident"
	"jayshift/core/table"
)

// splitter distributes the requests of routes with several services in proportion to the weights of the services, by
// smooth weighted round-robin.
type splitter struct {
	mu             *sync.Mutex
	currentWeights map[ident.Route]map[ident.Service]float64 // how far each service is behind its share; the one furthest behind is next
}

func newSplitter() splitter {
	return splitter{mu: &sync.Mutex{}, currentWeights: map[ident.Route]map[ident.Service]float64{}}
}

// next returns the service for the route's next request. When the number of a route's services changes, the current
// weights start again, with small differences that put the services in configured order.
func (s splitter) next(r *table.Route) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentWeights[r.Name]
	if current == nil || len(current) != len(r.Services) {
		current = map[ident.Service]float64{}
		for i, ws := range r.Services {
			current[ws.Service] = -1e-9 * float64(i)
		}
		s.currentWeights[r.Name] = current
	}
	total := 0.0
	var best ident.Service
	for _, ws := range r.Services {
		total += ws.Weight
		current[ws.Service] += ws.Weight
		if best == "" || current[ws.Service] > current[best] {
			best = ws.Service
		}
	}
	current[best] -= total
	return best
}
