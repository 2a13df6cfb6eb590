package edge

import (
	"sync"

	"jayshift/core/ident"
	"jayshift/core/table"
)

// splits hands the requests of routes with several services to these in proportion to their weights.
type splits struct {
	mu     *sync.Mutex
	routes map[ident.Route]map[ident.Service]float64 // how far each part is behind its weight
}

func newSplits() splits {
	return splits{mu: &sync.Mutex{}, routes: map[ident.Route]map[ident.Service]float64{}}
}

// next returns the service of the route's next request: the one that is furthest behind its weight.
func (s splits) next(r *table.Route) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := s.routes[r.Name]
	if behind == nil || len(behind) != len(r.Services) {
		behind = map[ident.Service]float64{}
		for i, p := range r.Services {
			behind[p.Service] = -1e-9 * float64(i)
		}
		s.routes[r.Name] = behind
	}
	sum := 0.0
	var best ident.Service
	for _, p := range r.Services {
		sum += p.Weight
		behind[p.Service] += p.Weight
		if best == "" || behind[p.Service] > behind[best] {
			best = p.Service
		}
	}
	behind[best] -= sum
	return best
}
